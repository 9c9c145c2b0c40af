"""Links of a process to the peers that exchange heartbeats with it."""

import threading
from typing import Callable
from typing import TYPE_CHECKING

from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.peers.link import Link
from rosemarynotch._internal.peers.message_handler import MessageHandler
from rosemarynotch._internal.peers.timing import LinkTiming

if TYPE_CHECKING:
    from rosemarynotch._internal.configuration import MembersView

__all__ = ["Links"]


class Links:
    """Opens and closes links as the members and the leader change.

    Entries and the leading control process participate. A control process
    opens links to all entries while it leads. Entries do not know which one
    leads, so they open a link to a control process that sends heartbeats and
    close it when none has arrived within the silence limit of a link.

    :param me: this member
    :param members: the registered members, of which the others are the peers
    :param handler: gives the last heartbeats received
    :param on_connected: called when a peer has acknowledged a connection
    """

    def __init__(
        self,
        context,
        me: Member,
        members: "MembersView",
        handler: MessageHandler,
        clock,
        metrics,
        timing: LinkTiming,
        on_connected: Callable[[], None],
    ) -> None:
        self._context = context
        self._me = me
        self._members = members
        self._handler = handler
        self._clock = clock
        self._metrics = metrics
        self._timing = timing
        self._on_connected = on_connected
        self._lock = threading.Lock()
        self._links: dict[str, Link] = {}
        self._running = False
        self._participates = me.kind is MemberKind.ENTRY

    @property
    def participates(self) -> bool:
        """Tell whether this process sends heartbeats."""
        return self._participates

    def start(self) -> None:
        """Allow links to be opened."""
        self._running = True

    def stop(self) -> None:
        """Close all links and open no more."""
        with self._lock:
            self._running = False
            links, self._links = list(self._links.values()), {}
        for link in links:
            link.stop()
        for link in links:
            link.join()

    def set_leading(self, leads: bool) -> None:
        """Let a control process participate only while it leads."""
        self._participates = leads
        self.update()

    def get(self, name: str) -> Link | None:
        """Return the link to a member."""
        return self._links.get(name)

    def all(self) -> list[Link]:
        """Return all links."""
        with self._lock:
            return list(self._links.values())

    def record_ack(self, name: str, number: int) -> None:
        """Record the acknowledgement in a heartbeat of a member.

        :param number: number of the last heartbeat of this process that the
            member has received
        """
        link = self._links.get(name)
        if link is not None:
            link.record_ack(number)
        elif self._participates:
            # The first heartbeat of a control process that has begun to lead.
            self.update()

    def update(self) -> None:
        """Open, replace and close links to the peers that need one."""
        with self._lock:
            if not self._running:
                return
            peers = self._select_peers()
            outdated = [
                link
                for name, link in self._links.items()
                if peers.get(name) != link.peer
            ]
            for link in outdated:
                del self._links[link.peer.name]
            for name, member in peers.items():
                if name not in self._links:
                    self._open(member)
        for link in outdated:
            link.stop()

    def _select_peers(self) -> dict[str, Member]:
        """Return the members that need a link.

        Control processes need no links to each other.
        """
        if not self._participates:
            return {}
        others = {
            name: member
            for name, member in self._members.record.members.items()
            if name != self._me.name
        }
        entries = {
            name: member
            for name, member in others.items()
            if member.kind is MemberKind.ENTRY
        }
        if self._me.kind is not MemberKind.ENTRY:
            return entries
        silence_s = self._timing.silence_s()
        recent = {
            name: others[name]
            for name, last in self._handler.latest_heartbeats.members().items()
            if name in others and last.age_s <= silence_s
        }
        return {**recent, **entries}

    def _open(self, member: Member) -> None:
        self._handler.reset_last_number(member.name)
        link = Link(
            self._context,
            member,
            self._clock,
            self._metrics,
            self._timing,
            self._on_connected,
        )
        self._links[member.name] = link
        link.start()
