"""Messages between the members of the cluster."""

import itertools
import threading
from typing import Callable
from typing import TYPE_CHECKING

import logbook
import zmq

from rosemarynotch._internal.exceptions import BODY_TOO_LARGE
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import PEER_UNREACHABLE
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.messages import DocumentAnswer
from rosemarynotch._internal.models.messages import DocumentRequest
from rosemarynotch._internal.models.messages import Forward
from rosemarynotch._internal.models.messages import ForwardAnswer
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.messages import LimitChanged
from rosemarynotch._internal.models.messages import MetricsAnswer
from rosemarynotch._internal.models.messages import MetricsRequest
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.peers.heartbeats import HeartbeatSender
from rosemarynotch._internal.peers.latest_heartbeats import ReceivedHeartbeat
from rosemarynotch._internal.peers.links import Links
from rosemarynotch._internal.peers.message_handler import MessageHandler
from rosemarynotch._internal.peers.server import Server
from rosemarynotch._internal.peers.timing import LinkTiming
from rosemarynotch._internal.peers.timing import Timing
from rosemarynotch._internal.peers.wire import Kind
from rosemarynotch._internal.peers.wire import Message
from rosemarynotch._internal.peers.wire import MESSAGE_LIMIT_BYTES
from rosemarynotch._internal.utils.request_budget import RequestBudget

if TYPE_CHECKING:
    from rosemarynotch._internal.configuration import MembersView

__all__ = ["Exchange"]

DOCUMENT_TIMEOUT_S = 5.0
# Limit of an answer with metrics. A histogram of 300,000 widely spread values
# takes 3.5 KB and 2,048 counters take 136 KB, so a process with 256 such
# histograms stays below it.
METRICS_LIMIT_BYTES = 2 * 1024 * 1024
TERMINATION_TIMEOUT_S = 2.0

_log = logbook.Logger(__name__)


class Exchange:
    """Sends and receives messages between this process and its peers.

    Callbacks for heartbeats and hints run on the thread of the server socket
    and must not block.

    :param me: this member; the exchange binds its peer address
    :param members: the registered members, of which the others are the peers
    :param timing: periods and limits of heartbeats
    :param budget: counts the memory of messages, by default one of its own
    """

    def __init__(
        self,
        me: Member,
        members: "MembersView",
        clock,
        metrics,
        timing: Timing | None = None,
        budget: RequestBudget | None = None,
    ) -> None:
        self._me = me
        self._members = members
        self._clock = clock
        self._metrics = metrics
        timing = LinkTiming(timing or Timing(), members)
        self._handler = MessageHandler(
            members,
            clock,
            metrics,
            lambda name, number: self._links.record_ack(name, number),
        )
        self._context = zmq.Context()
        self._server = Server(
            self._context,
            metrics,
            self._handler.handle,
            self._handler.answer,
            budget or RequestBudget(),
        )
        self._address = ""
        self._links = Links(
            self._context,
            me,
            members,
            self._handler,
            clock,
            metrics,
            timing,
            lambda: self._heartbeats.send_complete(),
        )
        self._heartbeats = HeartbeatSender(
            self._links, self._handler, timing, clock, metrics
        )
        self._request_ids = itertools.count(1)

    def bind(self) -> str:
        """Bind the peer address, before this member is registered.

        :returns: the address with its port
        :raises SettingsError: if the address cannot be bound
        """
        if not self._address:
            self._address = self._server.bind(self._me.peer_address)
        return self._address

    def start(self) -> None:
        """Start the threads."""
        self.bind()
        self._links.start()
        self._server.start()
        self._heartbeats.start()
        self._members.add_listener(self._on_members_changed)
        self._on_members_changed()

    def stop(self) -> None:
        """End the threads and close the sockets."""
        self._heartbeats.stop()
        self._links.stop()
        self._heartbeats.join()
        self._server.stop()
        self._terminate_context()

    def set_leading(self, leads: bool) -> None:
        """Let a control process exchange heartbeats only while it leads."""
        self._links.set_leading(leads)

    def set_heartbeat_source(self, callback: Callable[[], Heartbeat]) -> None:
        """Set the function that builds the heartbeats of this member."""
        self._heartbeats.source = callback

    def add_heartbeat_listener(
        self, callback: Callable[[Heartbeat], None]
    ) -> None:
        """Call back with each heartbeat that is accepted."""
        self._handler.on_heartbeat += (callback,)

    def add_sent_listener(self, callback: Callable[[Heartbeat], None]) -> None:
        """Call back with each heartbeat that this process sends.

        The heartbeat has the demand rows as peers know them. The callback
        runs on the thread that sends heartbeats.
        """
        self._heartbeats.on_sent += (callback,)

    def set_forward_handler(
        self, callback: Callable[[Forward], ForwardAnswer]
    ) -> None:
        """Set the function that runs forwarded requests on a worker thread."""
        self._handler.on_forward = callback

    def set_document_source(
        self, callback: Callable[[int], DocumentAnswer | Failure]
    ) -> None:
        """Set the function that answers requests for a configuration."""
        self._handler.on_document = callback

    def set_metrics_source(
        self, callback: Callable[[], MetricsAnswer | Failure]
    ) -> None:
        """Set the function that answers requests for metrics."""
        self._handler.on_metrics = callback

    def add_limit_listener(self, callback: Callable[[str], None]) -> None:
        """Call back with each team whose limit record has changed."""
        self._handler.on_limit += (callback,)

    def send_soon(self) -> None:
        """Send a heartbeat as soon as the least interval allows."""
        self._heartbeats.send_soon()

    def forward(
        self, entry: str, forward: Forward, timeout_s: float
    ) -> ForwardAnswer | Failure:
        """Forward a request to another entry and wait for its answer.

        :returns: the answer; PEER_UNREACHABLE or PEER_VERSION if the request
            was not run; or PEER_TIMEOUT with ``ran`` unknown
        """
        return self._request(
            entry, Kind.FORWARD, forward, ForwardAnswer, timeout_s
        )

    def fetch_document(
        self, entry: str, version: int
    ) -> DocumentAnswer | Failure:
        """Request a configuration from a member.

        :param version: oldest version that is of use
        """
        request = DocumentRequest(version=version)
        return self._request(
            entry,
            Kind.DOCUMENT_REQUEST,
            request,
            DocumentAnswer,
            DOCUMENT_TIMEOUT_S,
        )

    def fetch_metrics(
        self, entry: str, timeout_s: float
    ) -> MetricsAnswer | Failure:
        """Request the metrics of another entry.

        :returns: the values, which are not checked; a failure of the peer
            or of the link; RECORD_MALFORMED; or BODY_TOO_LARGE if the answer
            has over :data:`METRICS_LIMIT_BYTES`
        """
        return self._request(
            entry,
            Kind.METRICS_REQUEST,
            MetricsRequest(),
            MetricsAnswer,
            timeout_s,
            METRICS_LIMIT_BYTES,
        )

    def send_limit_changed(self, entry: str, team: str) -> None:
        """Send a hint, which may be lost, that a limit record has changed."""
        link = self._links.get(entry)
        if link is not None:
            body = codec.encode(LimitChanged(team=team))
            link.send(Message(Kind.LIMIT_CHANGED, 0, body))

    def heard(self) -> dict[str, ReceivedHeartbeat]:
        """Return the last heartbeat of each member and its age."""
        return self._handler.latest_heartbeats.members()

    def connected(self) -> list[str]:
        """Return the members that acknowledge heartbeats."""
        links = self._links.all()
        return sorted(link.peer.name for link in links if link.is_connected())

    def _request(
        self,
        entry,
        kind,
        request,
        answer_kind,
        timeout_s,
        limit_bytes=MESSAGE_LIMIT_BYTES,
    ):
        link = self._links.get(entry)
        if link is None:
            return PEER_UNREACHABLE.with_reason(f"there is no link to {entry}")
        message = Message(kind, next(self._request_ids), codec.encode(request))
        answer = link.request(message, timeout_s)
        if isinstance(answer, Failure):
            return answer
        if len(answer.body) > limit_bytes:
            reason = f"answer of {len(answer.body)} B, over {limit_bytes} B"
            return BODY_TOO_LARGE.with_reason(reason).with_ran_unknown()
        decoded = codec.decode(answer.body, answer_kind)
        if isinstance(decoded, Failure):
            # The peer has run the request, but its answer cannot be read.
            return decoded.with_ran_unknown()
        return decoded

    def _terminate_context(self) -> None:
        """Free the resources of libzmq.

        All sockets are closed, so nothing is lost if libzmq does not return,
        as it may when connections are lost while their messages wait.
        """
        thread = threading.Thread(
            target=self._context.destroy,
            kwargs={"linger": 0},
            name="peer-termination",
            daemon=True,
        )
        thread.start()
        thread.join(TERMINATION_TIMEOUT_S)
        if thread.is_alive():
            _log.warning(
                "connections of peers not freed within {} s",
                TERMINATION_TIMEOUT_S,
            )

    def _on_members_changed(self) -> None:
        self._links.update()
        self._handler.update_members()
