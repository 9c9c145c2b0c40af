"""The links of a process to the peers that take part in heartbeats."""

import threading
from typing import Callable
from typing import TYPE_CHECKING

from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.peers.inbox import Inbox
from rosemarynotch._internal.peers.link import Link
from rosemarynotch._internal.peers.timing import LinkTiming

if TYPE_CHECKING:
    from rosemarynotch._internal.configuration import MembersView

__all__ = ["Links"]


class Links:
    """Opens and closes links as members and the leader change.

    Entries and the control that leads take part. A control opens links to
    all entries while it leads. Entries do not know who leads, so they open
    links back to a control that they hear, and close them once it has been
    silent for as long as a link may be.

    :param me: this member
    :param members: the peers are its members
    :param inbox: tells who was heard
    :param on_connected: called when a peer has acknowledged a connection
    """

    def __init__(
        self,
        context,
        me: Member,
        members: "MembersView",
        inbox: Inbox,
        clock,
        metrics,
        timing: LinkTiming,
        on_connected: Callable[[], None],
    ) -> None:
        self._context = context
        self._me = me
        self._members = members
        self._inbox = inbox
        self._clock = clock
        self._metrics = metrics
        self._timing = timing
        self._on_connected = on_connected
        self._lock = threading.Lock()
        self._links: dict[str, Link] = {}
        self._running = False
        self._takes_part = me.kind is MemberKind.ENTRY

    @property
    def takes_part(self) -> bool:
        """Tell whether this process sends heartbeats."""
        return self._takes_part

    def start(self) -> None:
        """Let links be opened."""
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
        """Let a control take part while it leads."""
        self._takes_part = leads
        self.follow()

    def get(self, name: str) -> Link | None:
        """Return the link to a member."""
        return self._links.get(name)

    def all(self) -> list[Link]:
        """Return all links."""
        with self._lock:
            return list(self._links.values())

    def note_echo(self, name: str, beat: int) -> None:
        """Note a heartbeat of a member and the own one that it repeats."""
        link = self._links.get(name)
        if link is not None:
            link.note_echo(beat)
        elif self._takes_part:
            # The first heartbeat of a control that has begun to lead.
            self.follow()

    def follow(self) -> None:
        """Open, replace and close links to the peers that take part."""
        with self._lock:
            if not self._running:
                return
            wanted = self._wanted()
            outdated = [
                link
                for name, link in self._links.items()
                if wanted.get(name) != link.peer
            ]
            for link in outdated:
                del self._links[link.peer.name]
            for name, member in wanted.items():
                if name not in self._links:
                    self._open(member)
        for link in outdated:
            link.stop()

    def _wanted(self) -> dict[str, Member]:
        """Return the members to send to; controls do not need controls."""
        if not self._takes_part:
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
        heard = {
            name: others[name]
            for name, last in self._inbox.heard.members().items()
            if name in others and last.age_s <= silence_s
        }
        return {**heard, **entries}

    def _open(self, member: Member) -> None:
        self._inbox.forget(member.name)
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
