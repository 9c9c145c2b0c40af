"""The connection to one peer, owned by one thread."""

import concurrent.futures
import threading
from typing import Callable

import attrs
import logbook
import zmq

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import PEER_TIMEOUT
from rosemarynotch._internal.exceptions import PEER_UNREACHABLE
from rosemarynotch._internal.exceptions import PEER_VERSION
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.peers.mailbox import Mailbox
from rosemarynotch._internal.peers.wire import decode_message
from rosemarynotch._internal.peers.wire import encode_message
from rosemarynotch._internal.peers.wire import Kind
from rosemarynotch._internal.peers.wire import Message
from rosemarynotch._internal.peers.wire import MESSAGE_LIMIT_BYTES
from rosemarynotch._internal.peers.wire import split_beat

__all__ = ["Link"]

# Messages that may wait in a connection that does not drain.
SEND_QUEUE_MESSAGES = 200
# Time that the kernel resends unacknowledged bytes. It bounds the delay of
# a heartbeat, so that an old store contact is not taken for a new one.
RESEND_LIMIT_MS = 3_000
# A new connection is probed at once, and then less and less often.
FIRST_PROBE_S = 0.05
# Silence, in heartbeats, after which a connection in use is probed.
PROBE_BEATS = 1.5

_log = logbook.Logger(__name__)


@attrs.frozen
class _Request:
    """A message to send and, for requests, where its answer goes."""

    message: Message
    future: concurrent.futures.Future | None = None


class Link:
    """Sends messages to one peer and takes its answers.

    The thread of the link owns the DEALER socket. The peer acknowledges
    probes on the same connection, and heartbeats by repeating the number of
    the last one in its own heartbeats; that saves a message for each. A
    connection without acknowledgements is replaced, because open
    connections may stop responding while new ones work. If only the other
    direction has failed, this one is replaced too, until the peer has
    replaced its own.

    A forward is given to the socket only while acknowledgements are recent.
    Together with ``IMMEDIATE``, by which libzmq takes messages only for an
    established connection, this means that a forward that was refused here
    has not left the process. One that was taken may have run, even if
    libzmq still holds it: it cannot be asked about that.

    :param timing: ``beat_s()`` is the time between probes, ``silence_s()``
        the silence after which the connection is replaced
    :param on_connected: called by the thread of the link when the peer has
        acknowledged a new connection
    """

    def __init__(
        self,
        context,
        peer: Member,
        clock,
        metrics,
        timing,
        on_connected: Callable[[], None],
    ) -> None:
        self.peer = peer
        self._context = context
        self._clock = clock
        self._metrics = metrics
        self._timing = timing
        self._on_connected = on_connected
        self._confirmed = False
        self._mailbox = Mailbox()
        self._lock = threading.Lock()
        self._pending: dict[int, concurrent.futures.Future] = {}
        self._stopped = False
        self._acknowledged_s = -float("inf")
        self._opened_s = -float("inf")
        # Numbers of the first and last heartbeat on this connection.
        self._first_beat = 0
        self._last_beat = 0
        self._echo = 0
        self._version_failure: Failure | None = None
        self._thread = threading.Thread(
            target=self._run, name=f"link-{peer.name}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stopped = True
        self._mailbox.put(None)

    def join(self) -> None:
        """Wait until the thread has closed its socket."""
        self._thread.join()

    def is_connected(self) -> bool:
        """Tell whether the peer has acknowledged recently."""
        silent_s = self._clock.monotonic_s() - self._acknowledged_s
        return silent_s <= self._timing.silence_s() and not self._stopped

    def send(self, message: Message) -> None:
        """Send a message that has no answer, if the peer is connected."""
        self._mailbox.put(_Request(message))

    def note_echo(self, beat: int) -> None:
        """Note the last heartbeat of this process that the peer has heard."""
        first = self._first_beat
        if first and first <= beat <= self._last_beat and beat > self._echo:
            self._echo = beat
            self._acknowledged_s = self._clock.monotonic_s()

    def request(self, message: Message, timeout_s: float) -> Message | Failure:
        """Send a request and wait for its answer.

        :returns: the answer, PEER_UNREACHABLE or PEER_VERSION (nothing was
            sent), or PEER_TIMEOUT with ``ran`` unknown
        """
        if self._version_failure is not None:
            return self._version_failure
        if not self.is_connected():
            return PEER_UNREACHABLE.with_reason(
                f"{self.peer.name} is not heard"
            )
        future: concurrent.futures.Future = concurrent.futures.Future()
        self._mailbox.put(_Request(message, future))
        try:
            return future.result(timeout_s)
        except concurrent.futures.TimeoutError:
            pass
        if future.cancel():
            return PEER_UNREACHABLE.with_reason(f"{self.peer.name}: not sent")
        with self._lock:
            self._pending.pop(message.request_id, None)
        return PEER_TIMEOUT.with_reason(
            f"{self.peer.name} did not answer in time"
        )

    def _run(self) -> None:
        while not self._stopped:
            socket = self._context.socket(zmq.DEALER)
            try:
                self._configure(socket)
                self._serve(socket)
            finally:
                socket.close(linger=0)
            self._fail_pending()
        for request in self._mailbox.drain():
            self._refuse(request)
        self._mailbox.close()

    def _configure(self, socket) -> None:
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MESSAGE_LIMIT_BYTES)
        socket.setsockopt(zmq.TCP_MAXRT, RESEND_LIMIT_MS)
        socket.connect(f"tcp://{self.peer.peer_address}")

    def _serve(self, socket) -> None:
        """Use one connection until it is silent or the link stops."""
        poller = zmq.Poller()
        poller.register(socket, zmq.POLLIN)
        poller.register(self._mailbox.fileno(), zmq.POLLIN)
        self._first_beat = 0
        self._confirmed = False
        self._opened_s = self._clock.monotonic_s()
        probe_due_s = self._opened_s
        wait_s = FIRST_PROBE_S
        while not self._stopped:
            now_s = self._clock.monotonic_s()
            if now_s >= probe_due_s:
                beat_s = self._timing.beat_s()
                probe_due_s = self._acknowledged_s + PROBE_BEATS * beat_s
                if probe_due_s <= now_s:
                    self._send(socket, _Request(Message(Kind.PROBE)))
                    probe_due_s = now_s + wait_s
                    wait_s = min(2 * wait_s, beat_s)
            poller.poll(max(1, int(1000 * (probe_due_s - now_s))))
            self._receive(socket)
            for request in self._mailbox.drain():
                self._send(socket, request)
            if self._silent_s() > self._timing.silence_s():
                self._metrics.count("peer_links_replaced")
                return

    def _silent_s(self) -> float:
        since_s = max(self._opened_s, self._acknowledged_s)
        return self._clock.monotonic_s() - since_s

    def _send(self, socket, request: _Request | None) -> None:
        if request is None:
            return
        future = request.future
        if future is not None and not future.set_running_or_notify_cancel():
            return
        if future is not None:
            with self._lock:
                self._pending[request.message.request_id] = future
        data = encode_message(request.message)
        try:
            if future is not None and not self.is_connected():
                raise zmq.Again
            socket.send(data, zmq.DONTWAIT)
        except zmq.Again:
            # The peer misses this message; it gets complete news once it
            # acknowledges again.
            self._confirmed = False
            self._refuse_taken(request)
            return
        self._metrics.count("peer_bytes_sent", len(data))
        if request.message.kind is Kind.HEARTBEAT:
            self._last_beat, _ = split_beat(request.message.request_id)
            self._first_beat = self._first_beat or self._last_beat

    def _receive(self, socket) -> None:
        """Take all waiting messages."""
        while True:
            try:
                data = socket.recv(zmq.DONTWAIT)
            except zmq.Again:
                return
            self._take(data)

    def _take(self, data: bytes) -> None:
        message = decode_message(data)
        if isinstance(message, Failure):
            self._metrics.count("peer_messages_refused")
            if message.is_a(PEER_VERSION):
                self._version_failure = message
            return
        self._version_failure = None
        self._acknowledged_s = self._clock.monotonic_s()
        if message.kind is not Kind.ACK:
            with self._lock:
                future = self._pending.pop(message.request_id, None)
            if future is None:
                self._metrics.count("peer_answers_late")
            else:
                future.set_result(_content(message))
        if not self._confirmed:
            self._confirmed = True
            self._on_connected()

    def _refuse(self, request: _Request | None) -> None:
        future = request.future if request is not None else None
        if future is not None and future.set_running_or_notify_cancel():
            self._refuse_taken(request)

    def _refuse_taken(self, request: _Request) -> None:
        if request.future is None:
            return
        with self._lock:
            self._pending.pop(request.message.request_id, None)
        request.future.set_result(
            PEER_UNREACHABLE.with_reason(f"{self.peer.name}: not connected")
        )

    def _fail_pending(self) -> None:
        """End requests whose answers can no longer arrive."""
        with self._lock:
            pending, self._pending = self._pending, {}
        for future in pending.values():
            future.set_result(
                PEER_TIMEOUT.with_reason(
                    f"connection to {self.peer.name} lost"
                )
            )


def _content(message: Message) -> Message | Failure:
    if message.kind is not Kind.REFUSAL:
        return message
    return codec.decode(message.body, Failure)
