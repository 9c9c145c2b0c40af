"""What a process does with the messages of its peers."""

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
from rosemarynotch._internal.peers.latest_heartbeats import Heard
from rosemarynotch._internal.peers.rows import HeartbeatDecoder
from rosemarynotch._internal.peers.wire import Kind
from rosemarynotch._internal.peers.wire import Message
from rosemarynotch._internal.peers.wire import split_beat

if TYPE_CHECKING:
    from rosemarynotch._internal.configuration import MembersView

__all__ = ["Inbox"]


class Inbox:
    """Decodes messages and passes them to the callbacks.

    :param note_echo: (sender, beat) is told which of the own heartbeats a
        peer has heard last
    :ivar on_heartbeat: called with each heartbeat that is taken
    :ivar on_limit: called with the team whose limit record has changed
    :ivar on_forward: runs a forwarded request
    :ivar on_document: answers a peer that asks for a configuration
    :ivar on_metrics: answers a peer that asks for metrics
    """

    def __init__(
        self,
        members: "MembersView",
        clock,
        metrics,
        note_echo: Callable[[str, int], None],
    ) -> None:
        self._members = members
        self._metrics = metrics
        self._note_echo = note_echo
        self._decoder = HeartbeatDecoder()
        self._beats: dict[str, int] = {}
        self._outdated_senders = False
        self.heard = Heard(members, clock)
        self.on_heartbeat: tuple[Callable[[Heartbeat], None], ...] = ()
        self.on_limit: tuple[Callable[[str], None], ...] = ()
        self.on_forward: Callable[[Forward], ForwardAnswer] | None = None
        self.on_document: Callable[[int], DocumentAnswer | Failure] = (
            _no_document
        )
        self.on_metrics: Callable[[], MetricsAnswer | Failure] = _no_metrics

    def last_beat(self, name: str) -> int:
        """Return the number of the last heartbeat of a member, or 0."""
        return self._beats.get(name, 0)

    def forget(self, name: str) -> None:
        """Acknowledge no heartbeat of an earlier start of a member."""
        self._beats.pop(name, None)

    def follow_members(self) -> None:
        """Drop what is known of members that are registered no longer."""
        self.heard.forget_others()
        # The rows belong to the thread of the server.
        self._outdated_senders = True

    def take(self, message: Message) -> None:
        """Take a message that has no answer, on the server's thread."""
        if message.kind is Kind.HEARTBEAT:
            self._take_heartbeat(message)
        elif message.kind is Kind.LIMIT_CHANGED:
            hint = codec.decode(message.body, LimitChanged)
            if not isinstance(hint, Failure):
                for callback in self.on_limit:
                    callback(hint.team)

    def _take_heartbeat(self, message: Message) -> None:
        heartbeat = self._decoder.decode(message.body, self.heard.accepts)
        if heartbeat is None:
            self._metrics.count("peer_heartbeats_refused")
            return
        self.heard.keep(heartbeat)
        if self._outdated_senders:
            self._outdated_senders = False
            self._decoder.keep_only(self._members.record.members)
        beat, echo = split_beat(message.request_id)
        self._beats[heartbeat.sender] = beat
        self._note_echo(heartbeat.sender, echo)
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
                return SHUTTING_DOWN.with_reason("takes no requests of peers")
            answer = self.on_forward(request)
            kind = Kind.FORWARD_ANSWER
        if isinstance(answer, Failure):
            return answer
        return Message(kind, message.request_id, codec.encode(answer))


def _no_document(version: int) -> Failure:
    return STORE_KEY_MISSING.with_reason(f"version {version} not known")


def _no_metrics() -> Failure:
    return SHUTTING_DOWN.with_reason("gives no metrics")
