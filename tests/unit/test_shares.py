"""Tests of the allocation of slots and of the share table."""

import hypothesis
from hypothesis import strategies
import testtools

from rosemarynotch._internal.models.messages import DemandRow
from rosemarynotch._internal.policy.shares import EqualSplit
from rosemarynotch._internal.policy.shares import PoolDemand
from rosemarynotch._internal.policy.shares import ShareTable
from rosemarynotch._internal.policy.shares import TeamDemand
from rosemarynotch._internal.policy.shares import WeightedMaxMin
from rosemarynotch._internal.replay.share_trial import run_trial
from tests.lib.clocks import ManualClock
from tests.lib.fleet import heartbeat

TOLERANCE = 1e-6
POOL = "quotes"

teams = strategies.lists(
    strategies.builds(
        TeamDemand,
        team=strategies.uuids().map(str),
        demand_slots=strategies.integers(0, 100),
        share=strategies.floats(0, 10),
        worth_per_slot_s=strategies.floats(0, 10),
        deficit=strategies.floats(-3, 1),
    ),
    max_size=8,
    unique_by=lambda team: team.team,
)


class AllocationTest(testtools.TestCase):
    """Guards against slots that are lost, assigned twice or unfairly."""

    # Guards against slots that are lost or given beyond the demand.
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        teams=teams,
        slots=strategies.integers(0, 100),
        policy=strategies.sampled_from([WeightedMaxMin(), EqualSplit()]),
    )
    def test_properties(self, teams, slots, policy):
        pool = PoolDemand(slots=slots, teams=tuple(teams))
        allocation = policy.allocate(pool)
        demand = {team.team: team.demand_slots for team in teams}
        for team, assigned in allocation.items():
            self.assertTrue(0 <= assigned <= demand[team])
        used = sum(allocation.values())
        self.assertAlmostEqual(min(slots, sum(demand.values())), used, 5)

    # Guards against a short team while another has more for its share.
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        shares=strategies.lists(
            strategies.tuples(
                strategies.integers(1, 9), strategies.integers(0, 60)
            ),
            min_size=1,
            max_size=8,
        ),
        slots=strategies.integers(1, 60),
    )
    def test_weighted_max_min(self, shares, slots):
        pool = PoolDemand(
            slots=slots,
            teams=tuple(
                TeamDemand(team=str(i), demand_slots=demand, share=share)
                for i, (share, demand) in enumerate(shares)
            ),
        )
        allocation = WeightedMaxMin().allocate(pool)
        level = {
            team.team: allocation[team.team] / team.share
            for team in pool.teams
        }
        for team in pool.teams:
            if allocation[team.team] < team.demand_slots - TOLERANCE:
                # A team whose demand is not met has the highest level.
                self.assertGreaterEqual(
                    level[team.team] + TOLERANCE, max(level.values())
                )

    def test_worth_and_deficit_change_the_weight(self):
        """Guards against weights that ignore worth or an earlier deficit."""

        def allocate(**second):
            first = TeamDemand(team="a", demand_slots=99, share=1)
            other = TeamDemand(team="b", demand_slots=99, share=1, **second)
            pool = PoolDemand(slots=12, teams=(first, other))
            return WeightedMaxMin().allocate(pool)["b"]

        self.assertAlmostEqual(6, allocate())
        self.assertAlmostEqual(4, allocate(worth_per_slot_s=2.0))
        self.assertAlmostEqual(8, allocate(deficit=0.9))
        self.assertAlmostEqual(4, allocate(deficit=-0.9))


class ShareTableTest(testtools.TestCase):
    """Guards against slots that no entry or two entries use."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.table = self.make("a")

    def make(self, name, slots=9):
        return ShareTable(
            name,
            WeightedMaxMin(),
            self.clock,
            lambda pool: slots,
            lambda team: 1.0,
            lambda: ["a", "b", "c"],
        )

    def row(self, team, queued, running=0, slot_s=0.0):
        return DemandRow(
            pool=POOL,
            team=team,
            queued_requests=queued,
            running_requests=running,
            served_worth=0.0,
            slot_s=slot_s,
        )

    def receive(self, name, *rows, table=None):
        (table or self.table).record_heartbeat(heartbeat(name, demand=rows))

    def test_equal_split_without_heartbeats_of_others(self):
        """Guards against slots used twice while other entries are unknown.

        Without recent heartbeats, each entry uses an equal part.
        """
        self.assertEqual(3, self.table.spare_slots(POOL))
        self.table.update((self.row("t", 50),))
        self.assertEqual(3, self.table.slots(POOL, "t"))
        self.assertEqual(0, self.table.spare_slots(POOL))
        self.receive("b")
        self.receive("c")
        self.clock.advance(1)
        self.table.update((self.row("t", 50),))
        self.assertEqual(9, self.table.slots(POOL, "t"))
        self.clock.advance(29)
        self.table.update((self.row("t", 50),))
        self.assertEqual(9, self.table.slots(POOL, "t"))
        self.clock.advance(1)
        self.table.update((self.row("t", 50),))
        self.assertEqual(3, self.table.slots(POOL, "t"))

    def test_spare_slots_only_while_the_pool_is_not_full(self):
        """Guards against spare slots that other entries need."""
        self.receive("b", self.row("t", 0, 3))
        self.receive("c")
        self.table.update((self.row("t", 0, 3),))
        self.assertEqual(1, self.table.spare_slots(POOL))
        self.receive("b", self.row("t", 10, 3))
        self.clock.advance(1)
        self.table.update((self.row("t", 0, 3),))
        self.assertEqual(0, self.table.spare_slots(POOL))

    def test_slot_time_of_fractions_for_all_request_durations(self):
        """Guards against wrong charges for slot time between two updates.

        In a third of the cases, requests last a multiple of the time between
        updates.
        """
        for slots in (1.2, 4):
            for duration_steps in (2, 4, 6, 8, 11, 20):
                used = self.use_slots(slots, duration_steps)
                for name, used_s in used.items():
                    self.assertTrue(
                        abs(used_s - slots / 3 * 60) <= 0.03 * 60,
                        f"{name}: {used_s} of {slots}, {duration_steps} steps",
                    )

    def use_slots(self, slots, duration_steps):
        """Use the slots of three entries for a simulated minute.

        There are four steps between two updates. A request that may run
        starts at the next step.

        :returns: slot-seconds used, by entry
        """
        tables = {name: self.make(name, slots=slots) for name in "abc"}
        ends = {name: [] for name in tables}
        used_s = dict.fromkeys(tables, 0.0)
        for step in range(1200):
            self.clock.advance(0.05)
            for name in tables:
                used_s[name] += len(ends[name]) * 0.05
                ends[name] = [end for end in ends[name] if end > step]
            if step % 4 == 0:
                self.exchange_rows(tables, ends, used_s)
            for name, table in tables.items():
                free = int(table.slots(POOL, "t")) - len(ends[name])
                ends[name] += [step + duration_steps] * max(0, free)
        return used_s

    def exchange_rows(self, tables, ends, used_s):
        rows = {
            name: self.row("t", 10, len(ends[name]), used_s[name])
            for name in tables
        }
        for name, table in tables.items():
            for other in set(tables) - {name}:
                self.receive(other, rows[other], table=table)
            table.update((rows[name],))

    def test_uneven_callers_get_nearly_their_shares(self):
        """Guards against shares that depend on the entry of the callers."""
        exchanged = run_trial(True, duration_s=60.0)
        equal = run_trial(False, duration_s=10.0)
        self.assertLessEqual(exchanged.mean, 0.02)
        self.assertLessEqual(exchanged.worst, 0.05)
        self.assertGreater(equal.mean, 10 * exchanged.mean)
        self.assertGreater(exchanged.busy_fraction, 0.95)
