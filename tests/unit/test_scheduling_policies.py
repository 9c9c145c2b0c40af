"""Policies beside their baselines, under the load that each answers."""

import testtools

from rosemarynotch._internal.scheduling.admission import decide_admission
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.maintenance import OneAtATime
from rosemarynotch._internal.scheduling.maintenance import SpreadOverPools
from rosemarynotch._internal.scheduling.maintenance import WaveVm
from rosemarynotch._internal.scheduling.ordering import ArrivalOrder
from rosemarynotch._internal.scheduling.ordering import Candidate
from rosemarynotch._internal.scheduling.ordering import ObjectiveOrder
from rosemarynotch._internal.scheduling.pacing import TailLatencyPacer
from rosemarynotch._internal.scheduling.pool_sizing import DemandSizer
from rosemarynotch._internal.scheduling.pool_sizing import Move
from rosemarynotch._internal.scheduling.pool_sizing import PoolLoad
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import QUEUE
from tests.lib.scheduling import step

SLOTS = 4
WORK_MS = 1000


def replay(order, sizes, arrival_every_ms):
    """Serve jobs on SLOTS slots; return how many were on time.

    :param sizes: slots that each job takes, in the order of arrival
    """
    waiting = []
    for number, size in enumerate(sizes):
        accepted_ms = number * arrival_every_ms
        waiting.append(
            Candidate(
                job_id=f"{number:04d}",
                priority=0,
                is_serving=False,
                is_started=False,
                usage_share=0.0,
                accepted_ms=accepted_ms,
                remaining_ms=WORK_MS,
                remaining_core_ms=size * WORK_MS,
                objective_ms=accepted_ms + 2 * WORK_MS,
                late_ms=accepted_ms + 6 * WORK_MS,
            )
        )
    running, on_time, now_ms = [], 0, 0
    while waiting or running:
        running = [each for each in running if each[0] > now_ms]
        free = SLOTS - sum(size for _, size in running)
        arrived = [c for c in waiting if c.accepted_ms <= now_ms]
        for candidate in order.sort(arrived, now_ms):
            size = round(candidate.remaining_core_ms / WORK_MS)
            if size > free:
                continue
            free -= size
            running.append((now_ms + WORK_MS, size))
            waiting.remove(candidate)
            on_time += now_ms + WORK_MS <= candidate.objective_ms
        now_ms += 50
    return on_time


class TestOrder(testtools.TestCase):
    """Which job starts next at the worst load."""

    def test_peak_of_twice_the_room(self):
        """In order of arrival, a peak makes almost every job late."""
        sizes = [1, 2, 1, 4, 1, 1, 2, 1] * 10
        every_ms = 200
        baseline = replay(ArrivalOrder(), sizes, every_ms)
        chosen = replay(ObjectiveOrder(), sizes, every_ms)
        self.assertLess(baseline, 0.3 * len(sizes))
        self.assertGreater(chosen, 0.6 * len(sizes))

    def test_calm_load_is_served_either_way(self):
        """Without a peak all jobs are on time, large ones too."""
        sizes = [1, 2, 1, 4] * 5
        for order in (ArrivalOrder(), ObjectiveOrder()):
            self.assertEqual(len(sizes), replay(order, sizes, 1500))

    def test_priority_goes_before_size(self):
        """Urgent queues are first among jobs that can be on time."""
        small = self._candidate("small", priority=1, core_ms=1)
        urgent = self._candidate("urgent", priority=0, core_ms=9000)
        order = ObjectiveOrder().sort([small, urgent], 0.0)
        self.assertEqual("urgent", order[0].job_id)

    def test_serving_jobs_go_first(self):
        """Lasting tasks have to be restarted within seconds."""
        batch = self._candidate("batch", priority=0, core_ms=1)
        serving = self._candidate("serving", 3, 9000, is_serving=True)
        order = ObjectiveOrder().sort([batch, serving], 0.0)
        self.assertEqual("serving", order[0].job_id)

    @staticmethod
    def _candidate(name, priority, core_ms, is_serving=False):
        return Candidate(
            job_id=name,
            priority=priority,
            is_serving=is_serving,
            is_started=False,
            usage_share=0.0,
            accepted_ms=0.0,
            remaining_ms=100.0,
            remaining_core_ms=core_ms,
            objective_ms=1000.0,
            late_ms=3000.0,
        )


class TestAdmission(testtools.TestCase):
    """Which jobs are turned away."""

    def test_hopeless_job_is_refused_with_a_time(self):
        """Its caller learns at once when to come back."""
        spec = job_spec(step(estimated_ms=1000))
        # Three objectives of 2.5 s less 1 s of work.
        self.assertTrue(decide_admission(QUEUE, spec, 6500).is_accepted)
        verdict = decide_admission(QUEUE, spec, 9000)
        self.assertFalse(verdict.is_accepted)
        self.assertEqual(3, verdict.retry_after_s)

    def test_lasting_and_scheduled_jobs_are_accepted(self):
        """They have no objective that a wait would miss."""
        lasting = job_spec(step(long_running=True))
        scheduled = job_spec(step(), repeat_count=2)
        for spec in (lasting, scheduled):
            self.assertTrue(decide_admission(QUEUE, spec, 1e9).is_accepted)


class TestSizing(testtools.TestCase):
    """VMs follow demand."""

    @staticmethod
    def _pool(name, vms, demand, idle=0, spread=0, standby=False):
        return PoolLoad(
            name=name,
            is_standby=standby,
            vm_count=vms,
            idle_vms=tuple(f"{name}-{n}" for n in range(idle)),
            demand_vms=demand,
            spread_vms=spread,
        )

    def test_shortage_is_served_from_standby(self):
        """A queue whose turn begins gets VMs that were off."""
        pools = [
            self._pool("a", 2, 4.0),
            self._pool("s", 6, 0.0, idle=6, standby=True),
        ]
        moves = DemandSizer().plan(pools, 0.0)
        # 4 VMs of work, a twentieth more, and a spare one; 2 are there.
        self.assertEqual(4, len(moves))
        self.assertEqual({("s", "a")}, {(m.source, m.target) for m in moves})

    def test_surplus_leaves_only_after_a_while(self):
        """A short lull must not cost two moves of every VM."""
        pools = [
            self._pool("a", 6, 0.5, idle=5),
            self._pool("s", 0, 0.0, standby=True),
        ]
        sizer = DemandSizer()
        self.assertEqual([], sizer.plan(pools, 0.0))
        self.assertEqual([], sizer.plan(pools, 0.7))
        self.assertEqual([], sizer.plan(pools, 1.4))
        self.assertEqual(4, len(sizer.plan(pools, 1.5)))

    def test_surplus_serves_a_shortage_at_once(self):
        """Idle VMs went to standby while the next queue's turn began, in
        whatever order the pools are named.
        """
        for names in (("a", "b"), ("b", "a")):
            idle, short = names
            pools = [
                (
                    self._pool(name, 6, 0.0, idle=6)
                    if name == idle
                    else self._pool(name, 2, 4.0)
                )
                for name in ("a", "b")
            ]
            pools.append(self._pool("s", 0, 0.0, standby=True))
            moves = DemandSizer().plan(pools, 0.0)
            self.assertEqual(
                {(idle, short)}, {(m.source, m.target) for m in moves}
            )

    def test_surplus_goes_where_work_waits(self):
        """It does not take the way over standby, which costs twice."""
        pools = [
            self._pool("a", 3, 4.0),
            self._pool("b", 6, 0.0, idle=6),
            self._pool("s", 0, 0.0, standby=True),
        ]
        sizer = DemandSizer()
        sizer.plan(pools, 0.0)
        moves = sizer.plan(pools, 2.0)
        self.assertIn(Move("b-0", "b", "a"), moves)

    def test_spread_of_lasting_tasks(self):
        """25 tasks, few to a VM, had too few VMs (LOST on grown site)."""
        pool = self._pool("a", 2, 3.0, spread=9)
        self.assertEqual(10, DemandSizer.wanted_vms(pool))
        # Work that fills more VMs than the spread has a spare one too.
        pool = self._pool("a", 2, 10.0, spread=9)
        self.assertEqual(12, DemandSizer.wanted_vms(pool))

    def test_spare_vms_grow_with_the_pool(self):
        """With one spare VM beside 72, jobs of the peak were late."""
        for demand, wanted in ((0.0, 2), (7.0, 9), (20.0, 23), (72.0, 84)):
            pool = self._pool("a", 2, demand)
            self.assertEqual(wanted, DemandSizer.wanted_vms(pool))


class TestWaves(testtools.TestCase):
    """Which VMs are maintained next."""

    @staticmethod
    def _vms(pool, count, use=0.1, out=0, free=False):
        return [
            WaveVm(
                name=f"{pool}-{n}",
                pool=pool,
                pool_vms=count,
                pool_unavailable_vms=out,
                pool_utilisation=use,
                run_count=0,
                is_free=free,
            )
            for n in range(count)
        ]

    def test_busy_pools_wait_until_time_presses(self):
        """The queue that has its turn keeps its VMs."""
        vms = self._vms("busy", 6, use=0.9) + self._vms("idle", 6)
        chosen = SpreadOverPools().choose(vms, 9, 0.1)
        self.assertEqual(["idle-0", "idle-1"], chosen)
        chosen = SpreadOverPools().choose(vms, 9, 0.6)
        self.assertEqual(4, len(chosen))
        self.assertEqual(1, len(OneAtATime().choose(vms, 9, 0.1)))

    def test_limit_and_standby(self):
        """VMs that are off cost nothing and go first."""
        vms = self._vms("idle", 6) + self._vms("off", 6, free=True)
        chosen = SpreadOverPools().choose(vms, 3, 0.0)
        self.assertEqual(["off-0", "off-1", "off-2"], chosen)


class TestPacing(testtools.TestCase):
    """Filling tasks beside serving tasks."""

    def test_tail_over_its_target_slows_fillers(self):
        """Within two reports they stand still; later they speed up."""
        leader = Leader()
        leader.add_workers("w1")
        serving = step(long_running=True, latency_target_ms=100)
        filling = step(uses_idle_cpu=True)
        leader.submit("j1", job_spec(serving, filling))
        runs = leader.place()
        worker = leader.scheduler.workers["w1"]
        pacer = TailLatencyPacer()
        paces = []
        for load in (150, 150, 150, 40, 40):
            leader.now_s += 1.0
            leader.report_runs("w1", percent=100)
            for run in runs:
                run.phase = RunPhase.ACTIVE
                run.load = load if run.task.step.spec.long_running else 0
            for change in pacer.plan([worker], leader.now_s):
                change.run.pace_percent = change.percent
            paces.append(self._filler(runs).pace_percent)
        self.assertEqual([30, 0, 0, 20, 40], paces)

    @staticmethod
    def _filler(runs: list[Run]) -> Run:
        return next(run for run in runs if run.task.step.spec.uses_idle_cpu)
