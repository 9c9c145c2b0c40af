"""Handling of the messages that peers send to this process."""

from typing import Callable
from typing import TYPE_CHECKING

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import SHUTTING_DOWN
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.messages import DocumentAnswer
from rosemarynotch._internal.models.messages import DocumentRequest
from rosemarynotch._internal.models.messages import Forward
from rosemarynotch._internal.models.messages import ForwardAnswer
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.messages import LimitChanged
from rosemarynotch._internal.models.messages import MetricsAnswer
from rosemarynotch._internal.peers.latest_heartbeats import LatestHeartbeats
from rosemarynotch._internal.peers.rows import HeartbeatDecoder
from rosemarynotch._internal.peers.wire import Kind
from rosemarynotch._internal.peers.wire import Message
from rosemarynotch._internal.peers.wire import unpack_heartbeat_id

if TYPE_CHECKING:
    from rosemarynotch._internal.configuration import MembersView

__all__ = ["MessageHandler"]


class MessageHandler:
    """Decodes messages of peers and passes them to callbacks.

    :param record_ack: called with the sender of a heartbeat and the number
        of the last heartbeat of this process that the sender has received
    :ivar on_heartbeat: called with each heartbeat that is accepted
    :ivar on_limit: called with the team whose limit record has changed
    :ivar on_forward: runs a forwarded request
    :ivar on_document: answers a request for a configuration
    :ivar on_metrics: answers a request for metrics
    """

    def __init__(
        self,
        members: "MembersView",
        clock,
        metrics,
        record_ack: Callable[[str, int], None],
    ) -> None:
        self._members = members
        self._metrics = metrics
        self._record_ack = record_ack
        self._decoder = HeartbeatDecoder()
        self._last_numbers: dict[str, int] = {}
        self._must_remove_senders = False
        self.latest_heartbeats = LatestHeartbeats(members, clock)
        self.on_heartbeat: tuple[Callable[[Heartbeat], None], ...] = ()
        self.on_limit: tuple[Callable[[str], None], ...] = ()
        self.on_forward: Callable[[Forward], ForwardAnswer] | None = None
        self.on_document: Callable[[int], DocumentAnswer | Failure] = (
            _no_document
        )
        self.on_metrics: Callable[[], MetricsAnswer | Failure] = _no_metrics

    def last_number(self, name: str) -> int:
        """Return the number of the last heartbeat of a member, or 0."""
        return self._last_numbers.get(name, 0)

    def reset_last_number(self, name: str) -> None:
        """Stop acknowledging heartbeats of an earlier start of a member."""
        self._last_numbers.pop(name, None)

    def update_members(self) -> None:
        """Remove the state of members that are no longer registered."""
        self.latest_heartbeats.remove_unregistered()
        # The decoder belongs to the thread of the server, which removes the
        # rows with the next heartbeat.
        self._must_remove_senders = True

    def handle(self, message: Message) -> None:
        """Handle a message without an answer, on the server's thread."""
        if message.kind is Kind.HEARTBEAT:
            self._handle_heartbeat(message)
        elif message.kind is Kind.LIMIT_CHANGED:
            hint = codec.decode(message.body, LimitChanged)
            if not isinstance(hint, Failure):
                for callback in self.on_limit:
                    callback(hint.team)

    def _handle_heartbeat(self, message: Message) -> None:
        heartbeat = self._decoder.decode(
            message.body, self.latest_heartbeats.accepts
        )
        if heartbeat is None:
            self._metrics.count("peer_heartbeats_refused")
            return
        self.latest_heartbeats.record(heartbeat)
        if self._must_remove_senders:
            self._must_remove_senders = False
            self._decoder.retain_senders(self._members.record.members)
        number, acked = unpack_heartbeat_id(message.request_id)
        self._last_numbers[heartbeat.sender] = number
        self._record_ack(heartbeat.sender, acked)
        for callback in self.on_heartbeat:
            callback(heartbeat)

    def answer(self, message: Message) -> Message | Failure:
        """Answer a request, on a worker thread."""
        if message.kind is Kind.DOCUMENT_REQUEST:
            request = codec.decode(message.body, DocumentRequest)
            if isinstance(request, Failure):
                return request
            answer = self.on_document(request.version)
            kind = Kind.DOCUMENT_ANSWER
        elif message.kind is Kind.METRICS_REQUEST:
            answer = self.on_metrics()
            kind = Kind.METRICS_ANSWER
        else:
            request = codec.decode(message.body, Forward)
            if isinstance(request, Failure):
                return request
            if self.on_forward is None:
                return SHUTTING_DOWN.with_reason(
                    "no handler for forwarded requests"
                )
            answer = self.on_forward(request)
            kind = Kind.FORWARD_ANSWER
        if isinstance(answer, Failure):
            return answer
        return Message(kind, message.request_id, codec.encode(answer))


def _no_document(version: int) -> Failure:
    return STORE_KEY_MISSING.with_reason(f"version {version} is unknown")


def _no_metrics() -> Failure:
    return SHUTTING_DOWN.with_reason("no source of metrics")
