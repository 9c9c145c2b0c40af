"""Tests of which queued requests start when a request ends."""

import collections
import random
import sys
import threading
import time

import attrs
import testtools

from rosemarynotch._internal.admission.ticker import Ticker
from rosemarynotch._internal.models.messages import Answer
from tests.lib.clocks import ManualClock
from tests.lib.entries import caller_request
from tests.lib.entries import document
from tests.lib.entries import EntryUnderTest
from tests.lib.entries import fleet_record
from tests.lib.fleet import start_process

ANSWER = Answer(status=200, headers=(), body=b"")
POOLS = ("quotes", "orders", "plans")
# Time-out of a test that hangs.
WAIT_S = 20.0


def pools_document(limits):
    """Return a document with a queue for each pool, and limits by team."""
    now = document(teams=tuple(limits))
    pool, queue = now.pools[0], now.queues[0]
    return attrs.evolve(
        now,
        pools=tuple(attrs.evolve(pool, name=name) for name in POOLS),
        queues=tuple(
            attrs.evolve(queue, name=name, pool=name) for name in POOLS
        ),
        teams=tuple(
            attrs.evolve(team, limit_requests=limits[team.name])
            for team in now.teams
        ),
    )


class EndOfRequestTest(testtools.TestCase):
    """Base for tests of a dispatcher with real permits and no ticker."""

    def start(self, limits, slots):
        clock = ManualClock()
        current = pools_document(limits)
        self.permits = start_process(clock, current).permits
        self.entry = EntryUnderTest(
            POOLS, clock=clock, current=current, permits=self.permits
        )
        record = fleet_record(POOLS, slots=slots)
        vms = zip(POOLS, record.vms.items(), strict=True)
        self.entry.fleet.apply(
            attrs.evolve(
                record,
                vms={
                    name: attrs.evolve(vm, pool=pool)
                    for pool, (name, vm) in vms
                },
            ),
            2,
        )
        self.dispatcher = self.entry.dispatcher
        self.results = []

    def admit(self, pool, team, gone=lambda: False):
        queue = self.entry.in_force.current.document.queue(pool)
        request = caller_request(queue=pool, team=team, remaining_ms=10**6)
        return self.dispatcher.admit(request, queue, gone)

    def admit_in_thread(self, pool, team, gone=lambda: False):
        """Submit a request in a thread; return once it is queued."""
        before = self.queued()

        def run():
            self.results.append(self.admit(pool, team, gone))

        threading.Thread(target=run, daemon=True).start()
        self.wait_for(lambda: self.queued() > before)

    def queued(self):
        return sum(row.queued_requests for row in self.dispatcher.demand())

    def wait_for(self, condition):
        end_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertTrue(time.monotonic() < end_s, "condition timed out")
            time.sleep(0.001)

    def finish(self, grant):
        """End a request; return the grant of the one that starts then."""
        grant.finish(ANSWER, 1.0)
        self.wait_for(lambda: self.results)
        return self.results.pop()


class FreedPermitTest(EndOfRequestTest):
    """Guards against requests that wait although slot and permit are free."""

    def test_freed_permit_starts_a_request_in_another_pool(self):
        """Guards against searching only the pool of the ended request."""
        self.start({"red": 1}, slots=8)
        grant = self.admit("quotes", "red")
        self.admit_in_thread("orders", "red")
        self.assertEqual(("red",), self.dispatcher.short_teams())
        grant = self.finish(grant)
        self.assertEqual("orders", grant.pool)
        self.assertEqual((), self.dispatcher.short_teams())

    def test_end_of_a_hold_starts_a_request_in_another_pool(self):
        """Guards against a permit that stays unused after its hold.

        A hold ends by a late answer or by time.
        """
        self.start({"red": 1}, slots=8)
        for answered in (True, False):
            grant = self.admit("quotes", "red")
            self.admit_in_thread("orders", "red")
            grant.hold(1_000)
            if answered:
                grant.end_hold()
            else:
                self.entry.clock.advance(1.1)
                self.dispatcher.tick()
            self.wait_for(lambda: self.results)
            self.results.pop().finish(ANSWER, 1.0)

    def test_oldest_request_of_a_team_gets_its_only_permit(self):
        """Guards against a pool that waits longer than the others."""
        self.start({"red": 1}, slots=8)
        grant = self.admit("quotes", "red")
        pools = ["quotes", "plans", "quotes", "orders"]
        for pool in pools:
            self.admit_in_thread(pool, "red")
            self.entry.clock.advance(0.01)
        served = []
        while self.queued():
            grant = self.finish(grant)
            served.append(grant.pool)
        self.assertEqual(pools, served)

    def test_caller_that_disconnects_does_not_block_others(self):
        """Guards against offering the permit to a request that is dropped."""
        self.start({"red": 1}, slots=8)
        grant = self.admit("quotes", "red")
        gone = threading.Event()
        self.admit_in_thread("orders", "red")
        self.admit_in_thread("orders", "red", gone.is_set)
        gone.set()
        self.wait_for(lambda: self.results)
        self.assertEqual("caller-gone", self.results.pop().code)
        self.assertEqual("orders", self.finish(grant).pool)

    def test_freed_slot_starts_another_team(self):
        """Guards against considering only the team of the ended request."""
        self.start({"red": 8, "blue": 8}, slots=1)
        grant = self.admit("quotes", "red")
        self.admit_in_thread("quotes", "blue")
        self.assertEqual("blue", self.finish(grant).team)

    def test_request_refused_a_permit_just_before_the_release_starts(self):
        """Guards against a request that misses the release of a permit.

        It is refused the permit and queued while another request ends.
        """
        self.start({"red": 1}, slots=8)
        grant = self.admit("quotes", "red")
        release = self.permits.release

        def release_late(team):
            self.permits.release = release
            # Hangs if the dispatcher's lock is held during the release.
            self.admit_in_thread("orders", "red")
            release(team)

        self.permits.release = release_late
        self.assertEqual("orders", self.finish(grant).pool)

    def test_no_start_is_lost_between_threads(self):
        """Guards against requests that wait for ever after a race.

        Threads admit and end requests at the same time.
        """
        interval_s = sys.getswitchinterval()
        self.addCleanup(sys.setswitchinterval, interval_s)
        sys.setswitchinterval(1e-5)
        self.start({"red": 3, "blue": 1}, slots=2)
        threads_count, rounds = 12, 60
        # The barrier separates rounds, because otherwise later requests would
        # start those that were missed.
        together = threading.Barrier(threads_count, timeout=WAIT_S)
        done = collections.Counter()

        def run(seed):
            rng = random.Random(seed)
            for _ in range(rounds):
                together.wait()
                team = rng.choice(("red", "red", "blue"))
                grant = self.admit(rng.choice(POOLS), team)
                time.sleep(rng.choice((0.0, 0.001)))
                if rng.random() < 0.2:
                    grant.hold(10**6)
                    grant.end_hold()
                else:
                    grant.finish(ANSWER, 1.0)
                done[seed] += 1

        threads = [
            threading.Thread(target=run, args=(seed,), daemon=True)
            for seed in range(threads_count)
        ]
        for thread in threads:
            thread.start()
        self.wait_for(lambda: not any(each.is_alive() for each in threads))
        self.assertEqual(threads_count * rounds, done.total())
        self.assertTrue(self.dispatcher.wait_idle(1.0))
        self.assertEqual(0, self.permits.running("red"))
        self.assertEqual(0, self.permits.running("blue"))


class SearchCountTest(EndOfRequestTest):
    """Guards against needless searches of pools when a request ends."""

    def count_searches(self):
        searches = collections.Counter()
        usable = self.entry.health.usable

        def counted(pool, vms, in_flight):
            searches[pool] += 1
            return usable(pool, vms, in_flight)

        self.entry.health.usable = counted
        return searches

    def test_ended_request_searches_only_its_own_pool(self):
        """Guards against searches that grow with the number of pools."""
        self.start({"red": 50, "blue": 50}, slots=4)
        running = [self.admit("quotes", "red") for _ in range(4)]
        for _ in range(4):
            self.admit("orders", "blue")
        self.admit_in_thread("orders", "blue")
        for _ in range(21):
            self.admit_in_thread("quotes", "red")
        searches = self.count_searches()
        for _ in range(20):
            running.append(self.finish(running.pop(0)))
        # One search starts a request, the next finds no free slot.
        self.assertEqual({"quotes": 2 * 20}, dict(searches))


class TickerTest(testtools.TestCase):
    """Guards against waiting requests for which ticks have stopped."""

    def start_ticker(self, tick):
        """Start a ticker that ticks only after :meth:`note_waiting`."""
        ticker = Ticker(tick, bool, ManualClock(), idle_s=1000.0)
        ticker.start()
        self.addCleanup(ticker.stop)
        return ticker

    def test_ticks_go_on_while_requests_wait(self):
        """Guards against a ticker that stops while requests wait."""
        done, counts = threading.Event(), collections.Counter()

        def tick():
            counts["ticks"] += 1
            if counts["ticks"] == 3:
                done.set()
            return counts["ticks"] < 3

        self.start_ticker(tick).note_waiting()
        self.assertTrue(done.wait(WAIT_S))

    def test_request_that_starts_waiting_during_a_tick_is_noticed(self):
        """Guards against missing a request queued while a tick runs."""
        done, found = threading.Event(), []

        def tick():
            found.append(ticker)
            if len(found) == 1:
                ticker.note_waiting()
            else:
                done.set()
            return False

        ticker = self.start_ticker(tick)
        ticker.note_waiting()
        self.assertTrue(done.wait(WAIT_S))
