"""Tests of what gives way under shortage, by replays without a network."""

import attrs
import testtools

from rosemarynotch._internal.replay.overload_load import make_case
from rosemarynotch._internal.replay.overload_trial import OverloadTrial
from rosemarynotch._internal.scheduling.planner import Planner
from rosemarynotch._internal.scheduling.policy import ArrivalOrder
from rosemarynotch._internal.scheduling.policy import BestFit
from rosemarynotch._internal.scheduling.policy import Candidate
from rosemarynotch._internal.scheduling.policy import DeadlineOrder
from rosemarynotch._internal.scheduling.policy import DrawnOrder
from rosemarynotch._internal.scheduling.policy import KeepPoolsApart
from rosemarynotch._internal.scheduling.policy import MostOnTimeOrder
from rosemarynotch._internal.scheduling.policy import ObjectiveOrder
from rosemarynotch._internal.scheduling.policy import WeightedOrder
from rosemarynotch._internal.scheduling.policy import YieldLateWork
from rosemarynotch._internal.scheduling.policy import YieldToShortPools
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import QUEUE
from tests.lib.scheduling import step


def replay(load, seed, order, sharing):
    return OverloadTrial(make_case(load, seed), order, sharing).run()


def candidate(name="j", **fields):
    """Return a job that can be on time at time 0."""
    values = {
        "priority": 1,
        "is_serving": False,
        "is_started": False,
        "usage_share": 0.0,
        "accepted_ms": 0.0,
        "remaining_ms": 100.0,
        "remaining_core_ms": 100.0,
        "objective_ms": 1000.0,
        "cutoff_ms": 3000.0,
    }
    return Candidate(job_id=name, **(values | fields))


class TestRotation(testtools.TestCase):
    """Guards against the backlog of one turn that takes the VMs of the next.

    Queues peak in turn, each at more than its pool holds. With pools that
    know nothing of each other, late jobs of the former turn kept the VMs.
    """

    def test_urgent_turn_gets_the_vms_of_the_former_turn(self):
        """Guards against urgent jobs that wait behind another backlog."""
        for seed in (0, 1):
            urgent, on_time = [], []
            for sharing in (KeepPoolsApart(), YieldToShortPools()):
                found = replay("turn change", seed, ObjectiveOrder(), sharing)
                jobs = [job for job in found.jobs if not job.queue.priority]
                urgent.append(found.worth(jobs))
                on_time.append(found.on_time)
            self.assertGreater(urgent[1], urgent[0])
            self.assertGreater(on_time[1], on_time[0])


class TestSharing(testtools.TestCase):
    """Guards against jobs that hold VMs which more valuable jobs need."""

    def test_late_jobs_yield_to_other_pools_only(self):
        """Guards against idle VMs in a pool that keeps them anyway."""
        late = candidate(objective_ms=50.0)
        for policy in (YieldLateWork(), YieldToShortPools()):
            for short, may_start in (
                ({}, True),
                ({"q": 1}, False),
                ({"p": 1}, True),
                ({"p": 1, "q": 1}, True),
            ):
                self.assertEqual(
                    may_start,
                    policy.may_start(late, 0.0, "p", short),
                )

    def test_new_jobs_yield_to_more_urgent_queues(self):
        """Guards against urgent jobs that wait for VMs of other queues.

        Serving jobs do not yield, and started ones only as long as they can
        be on time afterwards: their work would be lost.
        """
        policy = YieldToShortPools()
        last_moment = candidate(is_started=True, objective_ms=300.0)
        for each, short, may_start in (
            (candidate(), {"q": 0}, False),
            (candidate(), {"p": 0}, True),
            (candidate(), {"q": 1}, True),
            (candidate(priority=0), {"q": 0}, True),
            (candidate(is_started=True), {"q": 0}, False),
            (last_moment, {"q": 0}, True),
            (candidate(is_serving=True), {"q": 0}, True),
        ):
            self.assertEqual(
                may_start, policy.may_start(each, 0.0, "p", short)
            )


class TestShortPools(testtools.TestCase):
    """Guards against pools that wrongly count as short."""

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.leader.add_workers("w1")
        self.leader.planner = Planner(
            self.leader.scheduler,
            ObjectiveOrder(),
            BestFit(),
            self.leader.advice,
            sharing=YieldToShortPools(),
        )
        other = attrs.evolve(QUEUE, name="r", prefix="/r/", pool="r")
        self.leader.scheduler.configuration = attrs.evolve(
            self.leader.scheduler.configuration, queues=(QUEUE, other)
        )
        self.leader.scheduler.short_of_vms = frozenset({"r"})
        self.other = other

    def submit(self, spec):
        """Add a job to a pool without workers, and a late job to the other.

        Plan twice, as jobs give way to pools that were short before.
        """
        leader = self.leader
        fresh = leader.submit("1" * 16, spec)
        fresh.submission = attrs.evolve(fresh.submission, policy=self.other)
        fresh.pools["r"] = 0
        leader.planner.place(leader.now_s, leader.now_s * 1000)
        late = leader.submit("0" * 16)
        late.submission = attrs.evolve(
            late.submission,
            accepted_unix_ms=late.submission.accepted_unix_ms - 3000,
        )
        leader.place()

    def running_count(self):
        """Return the number of runs in the pool with a worker."""
        return len(self.leader.scheduler.workers["w1"].runs)

    def test_late_jobs_wait_for_the_end_of_the_shortage(self):
        """Guards against VMs that late jobs keep, and jobs held for good."""
        self.submit(job_spec())
        self.assertEqual(0, self.running_count())
        self.leader.scheduler.cancel("1" * 16)
        self.leader.place()
        self.leader.place()
        self.assertEqual(1, self.running_count())

    def test_leader_without_the_store_holds_nothing_back(self):
        """Guards against idle workers while no VM can be ordered to move."""
        self.submit(job_spec())
        worker = self.leader.scheduler.workers["w1"]
        worker.granted_until_ms = round(self.leader.now_s * 1000) + 4000
        wall_ms = self.leader.now_s * 1000
        self.leader.planner.place(self.leader.now_s, wall_ms, 2.0)
        self.assertEqual(1, self.running_count())

    def test_late_jobs_use_workers_that_do_not_leave(self):
        """Guards against idle workers beside jobs that are held back.

        VMs with long-running tasks cannot move, and others may be kept as the
        minimum of their pool.
        """
        self.submit(job_spec())
        self.leader.advance(0.9)
        self.leader.place()
        self.assertEqual(0, self.running_count())
        self.leader.advance(0.2)
        self.leader.place()
        self.assertEqual(1, self.running_count())

    def test_late_jobs_start_beside_long_running_tasks(self):
        """Guards against the same with VMs that cannot move."""
        self.leader.submit("2" * 16, job_spec(step(long_running=True)))
        self.leader.place()
        self.submit(job_spec())
        self.assertEqual(2, self.running_count())

    def test_jobs_that_fit_nowhere_hold_nothing_back(self):
        """Guards against late jobs that wait for an impossible one."""
        self.submit(job_spec(step(cpu=9000)))
        self.assertEqual(1, self.running_count())

    def test_pools_that_get_enough_vms_are_not_short(self):
        """Guards against jobs that wait though no VM has to leave.

        VMs from standby are on the way, or there is no VM service.
        """
        self.leader.scheduler.short_of_vms = frozenset()
        self.submit(job_spec())
        self.assertEqual(1, self.running_count())


class TestLargeJobs(testtools.TestCase):
    """Guards against large jobs that never start under a shortage."""

    def test_largest_tenth_is_served_half_as_often(self):
        """Guards against sorting by size alone."""
        ratios = [
            replay(
                load, seed, DrawnOrder(), KeepPoolsApart()
            ).largest_tenth_ratio()
            for seed in range(2)
            for load in ("short peak", "large burst")
        ]
        self.assertGreaterEqual(sum(ratios) / len(ratios), 0.5)

    def test_rank_of_a_job_does_not_change(self):
        """Guards against jobs that are interleaved as their order changes."""
        jobs = [candidate(f"{n:016x}") for n in range(20)]
        order = DrawnOrder()
        first = order.sort(jobs, 0.0)
        self.assertEqual(first, order.sort(reversed(jobs), 200.0))


class TestOnTimeSets(testtools.TestCase):
    """Guards against sets of jobs that cannot all be on time."""

    JOBS = [
        candidate("a", remaining_core_ms=300.0, objective_ms=400.0),
        candidate("b", remaining_core_ms=900.0, objective_ms=500.0),
        candidate("c", remaining_core_ms=200.0, objective_ms=900.0),
    ]

    def test_largest_job_is_left_out(self):
        """Guards against a large job that makes the others late."""
        jobs = [
            *self.JOBS,
            candidate("d", remaining_core_ms=100.0, objective_ms=510.0),
        ]
        order = MostOnTimeOrder().sort(jobs, 0.0, cores=1.0)
        self.assertEqual("adcb", "".join(each.job_id for each in order))

    def test_newest_job_is_left_out_by_deadline(self):
        """Guards against an admitted job that gives way to a later one."""
        jobs = [
            attrs.evolve(each, accepted_ms=float(number))
            for number, each in enumerate(self.JOBS)
        ]
        order = DeadlineOrder().sort(jobs, 0.0, cores=1.0)
        self.assertEqual(["a", "b"], [each.job_id for each in order[:2]])

    def test_every_order_returns_each_job_once(self):
        """Guards against jobs that are lost between passes."""
        jobs = [
            *self.JOBS,
            candidate("s", is_serving=True),
            candidate("l", objective_ms=50.0),
            candidate("t", objective_ms=50.0, cutoff_ms=60.0),
        ]
        for kind in (
            ArrivalOrder,
            ObjectiveOrder,
            DrawnOrder,
            MostOnTimeOrder,
            WeightedOrder,
            DeadlineOrder,
        ):
            for cores in (0.0, 0.5, 8.0):
                order = kind().sort(jobs, 0.0, cores)
                self.assertEqual(
                    sorted(each.job_id for each in jobs),
                    sorted(each.job_id for each in order),
                )


class TestPassCost(testtools.TestCase):
    """Guards against a leader that is too slow while hundreds of jobs wait."""

    def test_unchanged_jobs_are_not_described_again(self):
        """Guards against calculating every waiting job anew in each pass."""
        leader = Leader()
        leader.add_workers("w1")
        jobs = [
            leader.submit(f"{n:016x}", job_spec(step(8))) for n in range(9)
        ]
        leader.place()
        leader.place()
        factory = leader.planner._candidates
        first = [factory.candidate(job, 0.0) for job in jobs]
        leader.place()
        for before, job in zip(first, jobs, strict=True):
            self.assertIs(before, factory.candidate(job, 0.0))

    def test_started_jobs_are_described_again(self):
        """Guards against a rank from before the start of a job."""
        leader = Leader()
        leader.add_workers("w1")
        job = leader.submit("1" * 16, job_spec(step(2), step(1, after=(0,))))
        factory = leader.planner._candidates
        self.assertFalse(factory.candidate(job, 0.0).is_started)
        runs = leader.place()
        started = factory.candidate(job, 0.0)
        self.assertTrue(started.is_started)
        leader.end(runs[0])
        left = factory.candidate(job, 0.0).remaining_core_ms
        self.assertLess(left, started.remaining_core_ms)
