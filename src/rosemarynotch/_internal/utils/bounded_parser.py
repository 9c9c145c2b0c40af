"""Request parser of waitress with bounds on its memory and its work."""

from typing import Protocol

from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser
from waitress.utilities import BadRequest
from waitress.utilities import Error
from waitress.utilities import find_double_newline
from waitress.utilities import RequestEntityTooLarge
from waitress.utilities import RequestHeaderFieldsTooLarge

__all__ = ["BoundedParser", "Overloaded", "RequestListener", "RETRY_AFTER_S"]

RETRY_AFTER_S = 1
# Bytes of chunk framing that are given to the parser at a time. It copies the
# rest of its input for each chunk, so a larger value makes tiny chunks dearer.
FRAMING_STEP_BYTES = 256
# Framing that is parsed before other connections get their turn; 170 chunks of
# one byte, which take about 0.5 ms.
TURN_FRAMING_BYTES = 1024
MAX_CHUNK_LINE_BYTES = 4096
# Framing of a body: six bytes frame one byte in the smallest chunks, with
# sizes of up to three digits more.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_PER_BODY_BYTE = 8
# Memory of a request beside its bytes, and of each field of its header.
REQUEST_BYTES = 2048
FIELD_BYTES = 200


class Overloaded(Error):
    """Refusal of a request for which there is no memory."""

    code = 503
    reason = "Service Unavailable"

    def to_response(self, ident=None):
        """Return status, headers and body of the refusal."""
        status, headers, body = super().to_response(ident)
        headers.append(("Retry-After", str(RETRY_AFTER_S)))
        return status, headers, body


class RequestListener(Protocol):
    """Is told when a request is complete, before a thread can get it."""

    def complete_request(self, request: "BoundedParser") -> None:
        """Count the request, or refuse it."""


class BoundedParser(HTTPRequestParser):
    """Parses one request in steps whose cost does not depend on its framing.

    It gives the parser of waitress a complete header at once and a chunked
    body in small pieces, and limits what that parser would keep: chunk
    extensions, trailers and framing.

    :param is_blocked: keeps all bytes, because the connection already has as
        many complete requests as it may have
    :ivar charge_bytes: size for which a complete request is counted
    """

    def __init__(
        self, adj: Adjustments, listener: RequestListener, is_blocked: bool
    ) -> None:
        super().__init__(adj)
        self.charge_bytes = 0
        self._listener = listener
        self._is_blocked = is_blocked
        self._head = bytearray()
        self._kept = b""
        self._allowance = 0 if is_blocked else TURN_FRAMING_BYTES
        self._framing_bytes = 0
        self._limit = ""

    @property
    def limit(self) -> str:
        """Return the limit that the request has exceeded, or ""."""
        return self._limit

    @property
    def is_blocked(self) -> bool:
        """Return whether the request was created without being parsed."""
        return self._is_blocked

    def take_kept(self) -> bytes:
        """Return the bytes that are to be parsed in the next turn."""
        kept, self._kept = self._kept, b""
        self._allowance = TURN_FRAMING_BYTES
        return kept

    def size_bytes(self) -> int:
        """Return about how much memory the request takes."""
        size = REQUEST_BYTES + FIELD_BYTES * len(self.headers)
        size += self.header_bytes_received + len(self._head)
        body = self.body_rcv
        if body is None:
            return size
        size += len(body)
        if self.chunked:
            size += len(body.trailer) + len(body.control_line)
        return size

    def running_bytes(self) -> int:
        """Return about how much memory the request takes while it runs.

        The application reads the body into a copy.
        """
        body = self.body_rcv
        return self.size_bytes() + (0 if body is None else len(body))

    def refuse(self, error: Error) -> None:
        """Complete the request with an error and drop its body."""
        self.error = error
        self.completed = True
        self.body_rcv = None
        self._head.clear()

    def received(self, data: bytes) -> int:
        """Parse bytes or keep them for the next turn.

        :returns: the number of bytes that were used
        """
        if self._is_blocked or (self.chunked and self._allowance <= 0):
            self._kept = data
            return len(data)
        if self.body_rcv is None:
            used = self._receive_header(data)
        elif self.chunked:
            used = self._receive_chunks(data)
        else:
            used = super().received(data)
        if self.completed:
            # The connection would send "100 Continue" and then wait for a
            # body, although there is none to come or it has been refused.
            self.expect_continue = False
        if self.completed and not self.empty:
            if isinstance(self.error, RequestEntityTooLarge):
                self._limit = "body-size"
            elif isinstance(self.error, RequestHeaderFieldsTooLarge):
                self._limit = self._limit or "header-size"
            self._listener.complete_request(self)
        return used

    def _receive_header(self, data: bytes) -> int:
        head = self._head
        if not head and find_double_newline(data) >= 0:
            return super().received(data)
        # The parser of waitress searches the whole header again for each part
        # that arrives, so it gets the header when it is complete.
        before = len(head)
        head += data
        is_complete = head.find(b"\r\n\r\n", max(0, before - 3)) >= 0
        if not is_complete and len(head) < self.adj.max_request_header_size:
            return len(data)
        self._head = bytearray()
        return super().received(bytes(head)) - before

    def _receive_chunks(self, data: bytes) -> int:
        body = self.body_rcv
        if body.chunk_remainder:
            piece = data[: body.chunk_remainder]
        else:
            piece = data[:FRAMING_STEP_BYTES]
            self._allowance -= len(piece)
        before = len(body)
        # The limit of waitress counts framing as a part of the body. With this
        # start it is never reached before the one below.
        self.body_bytes_received = before - FRAMING_STEP_BYTES
        used = super().received(piece)
        self._framing_bytes += used - (len(body) - before)
        if self.error is None:
            self._check_limits(body)
        return used

    def _check_limits(self, body) -> None:
        max_bytes = self.adj.max_request_body_size - 1
        max_framing = MAX_FRAMING_BYTES
        max_framing += MAX_FRAMING_PER_BODY_BYTE * len(body)
        if len(body) > max_bytes:
            self.refuse(RequestEntityTooLarge(f"exceeds {max_bytes} bytes"))
        elif len(body.control_line) > MAX_CHUNK_LINE_BYTES:
            self._limit = "chunk-extension"
            self.refuse(BadRequest("chunk extension is too long"))
        elif len(body.trailer) > self.adj.max_request_header_size:
            self._limit = "trailer-size"
            self.refuse(RequestHeaderFieldsTooLarge("trailers are too long"))
        elif self._framing_bytes > max_framing:
            self._limit = "chunk-framing"
            self.refuse(BadRequest("too many bytes of chunk framing"))

    def close(self) -> None:
        """Free the request."""
        self._listener.release_request(self)
        super().close()
