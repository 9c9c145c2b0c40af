"""Test of configuration and portions of two entries with their threads."""

import time

import testtools

from rosemarynotch._internal import configuration
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.peers import Exchange
from rosemarynotch._internal.peers import Timing
from rosemarynotch._internal.reference.records import CONFIG_KEY
from rosemarynotch._internal.utils.clock import SystemClock
from standins.kv import KeyValue
from tests.lib.counts import Counts
from tests.lib.fleet import heartbeat
from tests.lib.fleet import limit_document
from tests.lib.fleet import member
from tests.lib.fleet import pointer
from tests.lib.fleet import Process
from tests.lib.stores import Fault

WAIT_TIMEOUT_S = 30
TEAM = "ledger"


def wait_for(condition):
    """Wait until a condition holds, and fail after a time-out."""
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > end_s:
            raise AssertionError("condition not reached")
        time.sleep(0.01)


class Entry(Process):
    """The parts of an entry that follow the store, with their threads."""

    def __init__(self, core, name):
        clock = SystemClock()
        self.sequence = 0
        # The permits need a function that sends hints before the exchange,
        # which sends them, exists.
        super().__init__(core, clock, member(name), notify=self.notify)
        timing = Timing(
            period_s=0.2, per_participant_s=0.0, min_interval_s=0.05
        )
        me = member(name, address="127.0.0.1:0")
        self.exchange = Exchange(me, self.members, clock, Counts(), timing)
        me = member(name, address=self.exchange.bind())
        self.membership = configuration.Membership(
            self.records, self.members, me
        )
        self.follower = configuration.Follower(
            self.records,
            self.in_force,
            configuration.FleetView(),
            self.members,
            configuration.Freshness(clock, self.members, name),
            clock,
        )
        self.config_fetcher = configuration.ConfigFetcher(
            self.in_force,
            self.follower.refresh_config,
            self.exchange.fetch_document,
        )
        self.exchange.set_heartbeat_source(self.next_heartbeat)
        self.exchange.set_document_source(self.config_fetcher.document_answer)
        self.exchange.add_heartbeat_listener(
            self.config_fetcher.record_heartbeat
        )
        self.exchange.add_heartbeat_listener(self.permits.record_heartbeat)
        self.exchange.add_limit_listener(self.permits.handle_limit_changed)

    def notify(self, name, team):
        """Send a hint that the limit of a team has changed."""
        self.exchange.send_limit_changed(name, team)

    def next_heartbeat(self):
        """Return the next heartbeat."""
        self.sequence += 1
        return heartbeat(
            self.membership.me.name,
            sequence=self.sequence,
            members_revision=self.members.revision,
            config_version=self.in_force.current.version,
            short_teams=self.permits.short_teams(),
        )

    def start(self):
        """Register and start all threads."""
        assert self.membership.register() is None
        for part in (
            self.guard,
            self.exchange,
            self.follower,
            self.config_fetcher,
            self.permits,
        ):
            part.start()

    def stop(self):
        """Stop all threads."""
        for part in (
            self.exchange,
            self.follower,
            self.config_fetcher,
            self.guard,
            self.permits,
        ):
            part.stop()


class EntryStateTest(testtools.TestCase):
    """Guards against changes that do not reach other entries (P4, P10)."""

    def accept(self, version, limit):
        encoded = codec.encode(limit_document({TEAM: limit}))
        digest = configuration.document_digest(encoded)
        self.core.put(configuration.document_key(digest), encoded, 0)
        data = codec.encode(pointer(version, digest))
        entry = self.core.get(CONFIG_KEY)
        revision = self.core.put(
            CONFIG_KEY, data, entry.revision if entry else 0
        )
        self.entries[0].records.bump_head(config_revision=revision)

    def portions(self):
        return [entry.permits.portion(TEAM) for entry in self.entries]

    def test_documents_and_portions_reach_both_entries(self):
        """Guards against an entry that keeps an old document or portion.

        It has no contact with the store while the limit is lowered, so it
        learns of the new version from the other entry.
        """
        self.core = KeyValue()
        self.entries = [Entry(self.core, name) for name in "ab"]
        for entry in self.entries:
            entry.start()
            self.addCleanup(entry.stop)
        a, b = self.entries
        wait_for(a.exchange.connected)
        self.accept(1, 8)
        wait_for(lambda: self.portions() == [4, 4])
        b.store.fault = Fault.DOWN
        self.accept(2, 4)
        wait_for(lambda: b.in_force.current.version == 2)
        self.assertEqual(0, b.permits.portion(TEAM))
        b.store.fault = Fault.NONE
        wait_for(lambda: self.portions() == [2, 2])
        while a.permits.try_acquire(TEAM):
            pass
        # A request waits, so the team stays short until b has released part
        # of its portion.
        a.permits.set_short_teams_source(lambda: (TEAM,))
        wait_for(
            lambda: sum(self.portions()) == 4 and a.permits.portion(TEAM) > 2
        )
        self.assertTrue(b.permits.stop())
        self.assertIsNone(b.membership.remove())
        wait_for(lambda: self.portions() == [4, 0])
