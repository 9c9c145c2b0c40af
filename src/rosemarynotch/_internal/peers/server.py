"""The socket that peers send to, owned by one thread."""

import concurrent.futures
import threading
from typing import Callable

import logbook
import zmq

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import PEER_VERSION
from rosemarynotch._internal.exceptions import QUEUE_FULL
from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.peers.mailbox import Mailbox
from rosemarynotch._internal.peers.wire import decode_message
from rosemarynotch._internal.peers.wire import encode_message
from rosemarynotch._internal.peers.wire import Kind
from rosemarynotch._internal.peers.wire import Message
from rosemarynotch._internal.peers.wire import MESSAGE_LIMIT_BYTES

__all__ = ["Server"]

# Requests of peers that run at once, and that wait beyond these. A forward
# waits in the queue of its team, which refuses it when it cannot be run.
WORKERS_COUNT = 64
REQUESTS_LIMIT = 256
# Requests that are answered from memory do not wait for forwards, which take
# as long as their queue and target do.
LOOKUP_WORKERS_COUNT = 2
REQUEST_KINDS = (Kind.FORWARD, Kind.DOCUMENT_REQUEST, Kind.METRICS_REQUEST)

_log = logbook.Logger(__name__)


class Server:
    """Receives the messages of peers and sends the answers.

    :param take: handles a message that is answered by an acknowledgement
        or not at all; called by the thread of the server
    :param answer: answers a request; called by a worker thread
    """

    def __init__(
        self,
        context,
        metrics,
        take: Callable[[Message], None],
        answer: Callable[[Message], Message | Failure],
    ) -> None:
        self._socket = context.socket(zmq.ROUTER)
        self._metrics = metrics
        self._take = take
        self._answer = answer
        self._mailbox = Mailbox()
        self._waiting = threading.Semaphore(REQUESTS_LIMIT)
        self._stopped = False
        self._workers = concurrent.futures.ThreadPoolExecutor(
            WORKERS_COUNT, "peer-request"
        )
        self._lookup_workers = concurrent.futures.ThreadPoolExecutor(
            LOOKUP_WORKERS_COUNT, "peer-lookup"
        )
        self._thread = threading.Thread(
            target=self._run, name="peer-server", daemon=True
        )

    def bind(self, address: str) -> str:
        """Bind the socket; port 0 takes a free port.

        :returns: the address with its port
        :raises SettingsError: if the address cannot be bound, for example
            because another process has it
        """
        self._socket.setsockopt(zmq.MAXMSGSIZE, MESSAGE_LIMIT_BYTES)
        try:
            self._socket.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            raise SettingsError(f"peer address {address}: {error}") from error
        endpoint = self._socket.getsockopt(zmq.LAST_ENDPOINT)
        return endpoint.rstrip(b"\0").decode().removeprefix("tcp://")

    def start(self) -> None:
        """Start the thread, which owns the socket from now on."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread and close the socket."""
        self._stopped = True
        if self._thread.ident is None:
            self._socket.close(linger=0)
        else:
            self._mailbox.put(None)
            self._thread.join()
        for workers in (self._workers, self._lookup_workers):
            workers.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        poller = zmq.Poller()
        poller.register(self._socket, zmq.POLLIN)
        poller.register(self._mailbox.fileno(), zmq.POLLIN)
        while not self._stopped:
            poller.poll()
            for item in self._mailbox.drain():
                if item is not None:
                    self._send(*item)
            self._receive()
        self._socket.close(linger=0)
        self._mailbox.close()

    def _receive(self) -> None:
        while True:
            try:
                identity, *frames = self._socket.recv_multipart(zmq.DONTWAIT)
            except zmq.Again:
                return
            data = frames[-1] if frames else b""
            self._metrics.count("peer_bytes_received", len(data))
            self._handle(identity, decode_message(data))

    def _handle(self, identity: bytes, message: Message | Failure) -> None:
        if isinstance(message, Failure):
            self._metrics.count("peer_messages_refused")
            if message.is_a(PEER_VERSION):
                # The sender learns from any answer that versions differ.
                self._send(identity, Message(Kind.ACK))
            return
        if message.kind in REQUEST_KINDS:
            self._start(identity, message)
            return
        if message.kind is Kind.PROBE:
            self._send(identity, Message(Kind.ACK))
        self._guarded(self._take, message)

    def _start(self, identity: bytes, message: Message) -> None:
        if not self._waiting.acquire(blocking=False):
            refusal = QUEUE_FULL.with_reason("too many requests of peers")
            self._send(identity, _refusal(message, refusal))
            return
        is_forward = message.kind is Kind.FORWARD
        workers = self._workers if is_forward else self._lookup_workers
        workers.submit(self._work, identity, message)

    def _work(self, identity: bytes, message: Message) -> None:
        try:
            answer = self._guarded(self._answer, message)
        finally:
            self._waiting.release()
        if isinstance(answer, Failure):
            answer = _refusal(message, answer)
        if answer is not None:
            self._mailbox.put((identity, answer))

    def _guarded(self, handler, message: Message):
        """Call a handler; an error in it must not end the thread.

        Without an answer the sender assumes that its request may have run.
        """
        try:
            return handler(message)
        except Exception:
            self._metrics.count("peer_handler_errors")
            _log.exception("error in a handler of {}", message.kind.name)
            return None

    def _send(self, identity: bytes, message: Message) -> None:
        data = encode_message(message)
        try:
            self._socket.send_multipart([identity, data], zmq.DONTWAIT)
        except zmq.Again:
            self._metrics.count("peer_answers_dropped")
            return
        self._metrics.count("peer_bytes_sent", len(data))


def _refusal(message: Message, failure: Failure) -> Message:
    return Message(Kind.REFUSAL, message.request_id, codec.encode(failure))
