"""Sending of the heartbeats of this process."""

import secrets
import threading
from typing import Callable

import attrs
import logbook

from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.peers.links import Links
from rosemarynotch._internal.peers.message_handler import MessageHandler
from rosemarynotch._internal.peers.rows import HeartbeatEncoder
from rosemarynotch._internal.peers.timing import LinkTiming
from rosemarynotch._internal.peers.wire import Kind
from rosemarynotch._internal.peers.wire import Message
from rosemarynotch._internal.peers.wire import pack_heartbeat_id

__all__ = ["HeartbeatSender"]

# Limit of the random first number. It leaves numbers for 30 years of
# heartbeats below 32 bits.
MAX_FIRST_NUMBER = 2**31

_log = logbook.Logger(__name__)


class HeartbeatSender:
    """Sends heartbeats on its own thread while this process participates.

    :param handler: gives the heartbeat of a peer to acknowledge
    :ivar source: builds the heartbeats; while it is None, none are sent
    :ivar on_sent: called on the sending thread with each heartbeat sent; its
        demand rows are those that peers know
    """

    def __init__(
        self,
        links: Links,
        handler: MessageHandler,
        timing: LinkTiming,
        clock,
        metrics,
    ) -> None:
        self._links = links
        self._handler = handler
        self._timing = timing
        self._clock = clock
        self._metrics = metrics
        self._encoder = HeartbeatEncoder()
        # Numbers start at random, so that a peer does not acknowledge
        # heartbeats of this start of the process with a number of an earlier
        # start.
        self._number = 1 + secrets.randbelow(MAX_FIRST_NUMBER)
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
        """Ask the thread to end."""
        self._running = False
        self._due.set()

    def join(self) -> None:
        """Wait until the thread has ended, if it was started."""
        if self._thread.ident is not None:
            self._thread.join()

    def send_soon(self) -> None:
        """Send a heartbeat as soon as the least interval allows."""
        self._due.set()

    def send_complete(self) -> None:
        """Send a complete heartbeat soon, since a peer may lack rows."""
        self._encoder.send_complete()
        self.send_soon()

    def _run(self) -> None:
        min_interval_s = self._timing.timing.min_interval_s
        while self._running:
            if self._links.participates:
                self._send()
                self._links.update()
            # Waits for the least interval first, so that several calls of
            # ``send_soon`` in the meantime cause one heartbeat.
            self._clock.sleep(min_interval_s)
            self._due.wait(self._timing.heartbeat_period_s() - min_interval_s)
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
            acked = self._handler.last_number(link.peer.name)
            request_id = pack_heartbeat_id(self._number, acked)
            link.send(Message(Kind.HEARTBEAT, request_id, body))
