"""Tests of what the end of a request starts."""

import collections
import random
import sys
import threading
import time

import attrs
import testtools

from rosemarynotch._internal.admission.ticks import Ticks
from rosemarynotch._internal.models.messages import Answer
from tests.lib.clocks import ManualClock
from tests.lib.entries import caller_request
from tests.lib.entries import document
from tests.lib.entries import EntryUnderTest
from tests.lib.entries import fleet_record
from tests.lib.fleet import start_process

ANSWER = Answer(status=200, headers=(), body=b"")
POOLS = ("quotes", "orders", "plans")
# Only ends a test that hangs.
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
    """Runs the dispatcher with real permits, and without its ticks."""

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

    def enter(self, pool, team, gone=lambda: False):
        queue = self.entry.in_force.current.document.queue(pool)
        request = caller_request(queue=pool, team=team, remaining_ms=10**6)
        return self.dispatcher.admit(request, queue, gone)

    def enter_later(self, pool, team, gone=lambda: False):
        """Enter in a thread; return when the request is queued."""
        before = self.queued()

        def run():
            self.results.append(self.enter(pool, team, gone))

        threading.Thread(target=run, daemon=True).start()
        self.wait_for(lambda: self.queued() > before)

    def queued(self):
        return sum(row.queued_requests for row in self.dispatcher.demand())

    def wait_for(self, condition):
        end_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertTrue(time.monotonic() < end_s, "nothing happened")
            time.sleep(0.001)

    def finish(self, grant):
        """End a request; return the one that starts because of it."""
        grant.finish(ANSWER, 1.0)
        self.wait_for(lambda: self.results)
        return self.results.pop()


class FreedPermitTest(EndOfRequestTest):
    """Guards against requests that wait though slot and permit are free."""

    def test_permit_starts_the_request_that_waits_in_another_pool(self):
        self.start({"red": 1}, slots=8)
        grant = self.enter("quotes", "red")
        self.enter_later("orders", "red")
        self.assertEqual(("red",), self.dispatcher.short_teams())
        grant = self.finish(grant)
        self.assertEqual("orders", grant.pool)
        self.assertEqual((), self.dispatcher.short_teams())

    def test_end_of_a_hold_starts_it_as_well(self):
        self.start({"red": 1}, slots=8)
        for answered in (True, False):
            grant = self.enter("quotes", "red")
            self.enter_later("orders", "red")
            grant.hold(1_000)
            if answered:
                grant.end_hold()
            else:
                self.entry.clock.advance(1.1)
                self.dispatcher.tick()
            self.wait_for(lambda: self.results)
            self.results.pop().finish(ANSWER, 1.0)

    def test_oldest_request_of_a_team_gets_its_only_permit(self):
        self.start({"red": 1}, slots=8)
        grant = self.enter("quotes", "red")
        pools = ["quotes", "plans", "quotes", "orders"]
        for pool in pools:
            self.enter_later(pool, "red")
            self.entry.clock.advance(0.01)
        served = []
        while self.queued():
            grant = self.finish(grant)
            served.append(grant.pool)
        self.assertEqual(pools, served)

    def test_caller_that_hangs_up_hides_nobody_else(self):
        self.start({"red": 1}, slots=8)
        grant = self.enter("quotes", "red")
        gone = threading.Event()
        self.enter_later("orders", "red")
        self.enter_later("orders", "red", gone.is_set)
        gone.set()
        self.wait_for(lambda: self.results)
        self.assertEqual("caller-gone", self.results.pop().code)
        self.assertEqual("orders", self.finish(grant).pool)

    def test_slot_starts_another_team(self):
        self.start({"red": 8, "blue": 8}, slots=1)
        grant = self.enter("quotes", "red")
        self.enter_later("quotes", "blue")
        self.assertEqual("blue", self.finish(grant).team)

    def test_request_that_is_refused_just_before_the_release_starts(self):
        self.start({"red": 1}, slots=8)
        grant = self.enter("quotes", "red")
        release = self.permits.release

        def release_late(team):
            self.permits.release = release
            # Hangs if the dispatcher's lock is held.
            self.enter_later("orders", "red")
            release(team)

        self.permits.release = release_late
        self.assertEqual("orders", self.finish(grant).pool)

    def test_no_start_is_lost_between_threads(self):
        interval_s = sys.getswitchinterval()
        self.addCleanup(sys.setswitchinterval, interval_s)
        sys.setswitchinterval(1e-5)
        self.start({"red": 3, "blue": 1}, slots=2)
        threads_count, rounds = 12, 60
        # Without rounds, requests that arrive later would start those that
        # were forgotten.
        together = threading.Barrier(threads_count, timeout=WAIT_S)
        done = collections.Counter()

        def run(seed):
            rng = random.Random(seed)
            for _ in range(rounds):
                together.wait()
                team = rng.choice(("red", "red", "blue"))
                grant = self.enter(rng.choice(POOLS), team)
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


class PumpCountTest(EndOfRequestTest):
    """Guards against pools that are searched again for one end."""

    def count_searches(self):
        searches = collections.Counter()
        usable = self.entry.health.usable

        def counted(pool, vms, in_flight):
            searches[pool] += 1
            return usable(pool, vms, in_flight)

        self.entry.health.usable = counted
        return searches

    def test_one_pump_for_a_finished_request(self):
        self.start({"red": 50, "blue": 50}, slots=4)
        running = [self.enter("quotes", "red") for _ in range(4)]
        for _ in range(4):
            self.enter("orders", "blue")
        self.enter_later("orders", "blue")
        for _ in range(21):
            self.enter_later("quotes", "red")
        searches = self.count_searches()
        for _ in range(20):
            running.append(self.finish(running.pop(0)))
        # One search starts a request, the next finds no free slot.
        self.assertEqual({"quotes": 2 * 20}, dict(searches))


class TicksTest(testtools.TestCase):
    """Guards against a waiting request that time no longer starts."""

    def ticks(self, tick):
        """Start ticks that come on request only."""
        ticks = Ticks(tick, bool, ManualClock(), idle_s=1000.0)
        ticks.start()
        self.addCleanup(ticks.stop)
        return ticks

    def test_ticks_go_on_while_requests_wait(self):
        done, counts = threading.Event(), collections.Counter()

        def tick():
            counts["ticks"] += 1
            if counts["ticks"] == 3:
                done.set()
            return counts["ticks"] < 3

        self.ticks(tick).note_waiting()
        self.assertTrue(done.wait(WAIT_S))

    def test_request_that_begins_to_wait_during_a_tick_is_seen(self):
        done, found = threading.Event(), []

        def tick():
            found.append(ticks)
            if len(found) == 1:
                ticks.note_waiting()
            else:
                done.set()
            return False

        ticks = self.ticks(tick)
        ticks.note_waiting()
        self.assertTrue(done.wait(WAIT_S))
