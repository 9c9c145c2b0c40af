"""Sends the heartbeats of this process."""

import secrets
import threading
from typing import Callable

import attrs
import logbook

from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.peers.inbox import Inbox
from rosemarynotch._internal.peers.links import Links
from rosemarynotch._internal.peers.rows import HeartbeatEncoder
from rosemarynotch._internal.peers.timing import LinkTiming
from rosemarynotch._internal.peers.wire import join_beat
from rosemarynotch._internal.peers.wire import Kind
from rosemarynotch._internal.peers.wire import Message

__all__ = ["HeartbeatSender"]

# Leaves room for 30 years of heartbeats below 32 bits.
FIRST_BEAT_LIMIT = 2**31

_log = logbook.Logger(__name__)


class HeartbeatSender:
    """A thread that sends heartbeats while this process takes part.

    :param inbox: tells which heartbeat of a peer to acknowledge
    :ivar source: builds the heartbeats, if set
    :ivar on_sent: called with each own heartbeat, with the rows that peers
        know, on the thread that sends
    """

    def __init__(
        self, links: Links, inbox: Inbox, timing: LinkTiming, clock, metrics
    ) -> None:
        self._links = links
        self._inbox = inbox
        self._timing = timing
        self._clock = clock
        self._metrics = metrics
        self._encoder = HeartbeatEncoder()
        # Numbers start at random, so that a peer does not acknowledge those
        # of this start of the process with one of an earlier start.
        self._number = 1 + secrets.randbelow(FIRST_BEAT_LIMIT)
        self._running = False
        self._due = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="heartbeats", daemon=True
        )
        self.source: Callable[[], Heartbeat] | None = None
        self.on_sent: tuple[Callable[[Heartbeat], None], ...] = ()

    def start(self) -> None:
        """Start the thread."""
        self._running = True
        self._thread.start()

    def stop(self) -> None:
        """Let the thread end."""
        self._running = False
        self._due.set()

    def join(self) -> None:
        """Wait for the end of the thread, if it was started."""
        if self._thread.ident is not None:
            self._thread.join()

    def hasten(self) -> None:
        """Send a heartbeat at once, or soon after the previous one."""
        self._due.set()

    def send_complete(self) -> None:
        """Send all rows soon, since a peer may not know them."""
        self._encoder.send_complete()
        self.hasten()

    def _run(self) -> None:
        min_interval_s = self._timing.timing.min_interval_s
        while self._running:
            if self._links.takes_part:
                self._send()
                self._links.follow()
            # The least time between heartbeats is waited out first, so that
            # requests for one in the meantime lead to one heartbeat.
            self._clock.sleep(min_interval_s)
            self._due.wait(self._timing.beat_s() - min_interval_s)
            self._due.clear()

    def _send(self) -> None:
        if self.source is None:
            return
        try:
            heartbeat = self.source()
            body = self._encoder.encode(heartbeat)
            rows = self._encoder.sent_rows()
            for callback in self.on_sent:
                callback(attrs.evolve(heartbeat, demand=rows))
        except Exception:
            self._metrics.count("peer_handler_errors")
            _log.exception("error in the source of heartbeats")
            return
        self._number += 1
        for link in self._links.all():
            echo = self._inbox.last_beat(link.peer.name)
            request_id = join_beat(self._number, echo)
            link.send(Message(Kind.HEARTBEAT, request_id, body))
