"""Server socket for messages of peers, owned by one thread."""

import concurrent.futures
import math
import threading
from typing import Callable

import logbook
import zmq

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import PEER_VERSION
from rosemarynotch._internal.exceptions import QUEUE_FULL
from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.peers.connections import PeerConnection
from rosemarynotch._internal.peers.connections import PeerConnections
from rosemarynotch._internal.peers.mailbox import Mailbox
from rosemarynotch._internal.peers.wire import decode_message
from rosemarynotch._internal.peers.wire import encode_message
from rosemarynotch._internal.peers.wire import Kind
from rosemarynotch._internal.peers.wire import Message
from rosemarynotch._internal.peers.wire import REQUEST_LIMIT_BYTES
from rosemarynotch._internal.utils.request_budget import LARGE_REQUEST_BYTES
from rosemarynotch._internal.utils.request_budget import RequestBudget

__all__ = ["Server"]

# Limits of concurrent forwards and of all unfinished requests of peers. A
# running forward waits in the queue of its team, which refuses it if it
# cannot be run.
WORKERS_COUNT = 64
REQUESTS_LIMIT = 256
# Requests answered from memory have their own workers, so that they do not
# wait for forwards, which take as long as their queue and target do.
LOOKUP_WORKERS_COUNT = 2
# Bounds of the messages of one connection that may wait for the thread of the
# server. Those that still wait at the peer are lost when its link replaces the
# connection.
MAX_QUEUE_MESSAGES = 64
MIN_QUEUE_MESSAGES = 2
# Part of the budget that a queue with the largest bodies of ordinary callers
# may take, so that a fast member is slowed down and not evicted.
QUEUE_SHARE = 1 / 6
RECEIVE_BUFFER_BYTES = 32 * 1024
# Messages that are read before answers and connections have their turn.
MESSAGES_PER_TURN = 64
# A request and the object decoded from it.
COPIES_PER_REQUEST = 2
REQUEST_KINDS = (Kind.FORWARD, Kind.DOCUMENT_REQUEST, Kind.METRICS_REQUEST)

_log = logbook.Logger(__name__)


class Server:
    """Receives the messages of peers and sends the answers.

    :param handle: handles a message that is answered by an acknowledgement
        or not at all; called by the thread of the server
    :param answer: answers a request; called by a worker thread
    :param budget: counts messages that were not read or not sent yet, and
        requests until they are answered
    """

    def __init__(
        self,
        context,
        metrics,
        handle: Callable[[Message], None],
        answer: Callable[[Message], Message | Failure],
        budget: RequestBudget,
    ) -> None:
        self._socket = context.socket(zmq.ROUTER)
        self._budget = budget
        self._connections = PeerConnections(self._socket, budget)
        self._metrics = metrics
        self._handle = handle
        self._answer = answer
        self._mailbox = Mailbox()
        self._free_requests = threading.Semaphore(REQUESTS_LIMIT)
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
        """Bind the socket; port 0 selects a free port.

        :returns: the address with its port
        :raises SettingsError: if the address cannot be bound, for example
            because another process uses it
        """
        self._socket.setsockopt(zmq.MAXMSGSIZE, REQUEST_LIMIT_BYTES)
        self._socket.setsockopt(zmq.RCVHWM, self._queue_messages())
        self._socket.setsockopt(zmq.RCVBUF, RECEIVE_BUFFER_BYTES)
        # Answers that cannot be sent raise an error.
        self._socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        try:
            self._socket.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            raise SettingsError(f"peer address {address}: {error}") from error
        endpoint = self._socket.getsockopt(zmq.LAST_ENDPOINT)
        bound = endpoint.rstrip(b"\0").decode().removeprefix("tcp://")
        self._connections.set_port(int(bound.rpartition(":")[2]))
        return bound

    def start(self) -> None:
        """Start the thread, which owns the socket from now on."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread and close the socket."""
        self._stopped = True
        if self._thread.ident is None:
            self._connections.close()
            self._socket.close(linger=0)
        else:
            self._mailbox.put(None)
            self._thread.join()
        for workers in (self._workers, self._lookup_workers):
            workers.shutdown(wait=False, cancel_futures=True)

    def _queue_messages(self) -> int:
        share_bytes = self._budget.limit_bytes * QUEUE_SHARE
        messages = int(share_bytes / LARGE_REQUEST_BYTES)
        return max(MIN_QUEUE_MESSAGES, min(messages, MAX_QUEUE_MESSAGES))

    def _run(self) -> None:
        poller = zmq.Poller()
        poller.register(self._socket, zmq.POLLIN)
        poller.register(self._mailbox.fileno(), zmq.POLLIN)
        poller.register(self._connections.monitor, zmq.POLLIN)
        while not self._stopped:
            due_in_s = self._connections.due_in_s()
            ready = dict(poller.poll(math.ceil(1000 * due_in_s)))
            if self._connections.monitor in ready:
                self._connections.follow()
            if self._mailbox.fileno() in ready:
                for item in self._mailbox.drain():
                    if item is not None:
                        self._send(*item)
            is_due = self._connections.due_in_s() <= 0
            if self._socket in ready or is_due:
                self._receive()
            if is_due:
                self._connections.measure()
        self._connections.close()
        self._socket.close(linger=0)
        self._mailbox.close()

    def _receive(self) -> None:
        for _ in range(MESSAGES_PER_TURN):
            try:
                # A ROUTER socket puts the identity before each message.
                identity = self._socket.recv(zmq.DONTWAIT)
            except zmq.Again:
                return
            is_complete = False
            while not is_complete:
                frame = self._socket.recv(copy=False)
                is_complete = not frame.more
                connection = self._connections.record_message(
                    identity, frame.get(zmq.SRCFD), len(frame)
                )
            self._metrics.count("peer_bytes_received", len(frame))
            message = decode_message(frame.buffer)
            self._connections.record_validity(
                connection, not _is_malformed(message)
            )
            self._handle_message(identity, message, connection)

    def _handle_message(
        self,
        identity: bytes,
        message: Message | Failure,
        connection: PeerConnection,
    ) -> None:
        if isinstance(message, Failure):
            self._metrics.count("peer_messages_refused")
            if message.is_a(PEER_VERSION):
                # Any answer tells the sender that the versions differ.
                self._send(identity, Message(Kind.ACK))
            return
        if message.kind in REQUEST_KINDS:
            self._submit(identity, message, connection)
            return
        if message.kind is Kind.PROBE:
            self._send(identity, Message(Kind.ACK))
        self._call_handler(self._handle, message)

    def _submit(
        self,
        identity: bytes,
        message: Message,
        connection: PeerConnection,
    ) -> None:
        if not self._free_requests.acquire(blocking=False):
            refusal = QUEUE_FULL.with_reason("too many requests of peers")
            self._send(identity, _refusal(message, refusal))
            return
        size = COPIES_PER_REQUEST * len(message.body)
        if not self._budget.admit(connection, size):
            self._free_requests.release()
            self._budget.events.record("request-memory")
            refusal = QUEUE_FULL.with_reason(
                "requests of peers fill the memory"
            )
            self._send(identity, _refusal(message, refusal))
            return
        is_forward = message.kind is Kind.FORWARD
        workers = self._workers if is_forward else self._lookup_workers
        workers.submit(self._answer_request, identity, message, size)

    def _answer_request(
        self, identity: bytes, message: Message, size: int
    ) -> None:
        try:
            answer = self._call_handler(self._answer, message)
        finally:
            self._free_requests.release()
            self._budget.release(size)
        if isinstance(answer, Failure):
            answer = _refusal(message, answer)
        if answer is not None:
            self._mailbox.put((identity, answer))

    def _call_handler(self, handler, message: Message):
        """Call a handler; log an error in it, so that the thread continues.

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
        except zmq.ZMQError:
            # The queue of the connection is full, or it is closed.
            self._metrics.count("peer_answers_dropped")
            return
        self._connections.record_answer(identity, len(data))
        self._metrics.count("peer_bytes_sent", len(data))


def _refusal(message: Message, failure: Failure) -> Message:
    return Message(Kind.REFUSAL, message.request_id, codec.encode(failure))


def _is_malformed(message: Message | Failure) -> bool:
    return isinstance(message, Failure) and not message.is_a(PEER_VERSION)
