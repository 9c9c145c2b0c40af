"""Tests of jobs that can never complete beside jobs that can."""

import attrs
import testtools

from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.fleet_ports import VmPhase
from rosemarynotch._internal.scheduling.model import AdvicePolicy
from rosemarynotch._internal.scheduling.planner import FAILING_RETRY_S
from rosemarynotch._internal.scheduling.planner import Planner
from rosemarynotch._internal.scheduling.policy import BestFit
from rosemarynotch._internal.scheduling.policy import FleetCheck
from rosemarynotch._internal.scheduling.policy import measure_demand
from rosemarynotch._internal.scheduling.policy import NoCheck
from rosemarynotch._internal.scheduling.policy import ObjectiveOrder
from rosemarynotch._internal.scheduling.policy import vm_sizes
from rosemarynotch._internal.scheduling.ports import EndKind
from tests.lib.scheduling import CAPACITY
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import QUEUE
from tests.lib.scheduling import step


class ImpossibleCase(testtools.TestCase):
    """Base of tests with three workers of one size and kind."""

    CHECK = FleetCheck

    def setUp(self):
        super().setUp()
        self.leader = leader = Leader()
        self.names = ("w1", "w2", "w3")
        leader.add_workers(*self.names)
        self.vms = [self.vm(name) for name in self.names]
        self.check = self.CHECK()
        self.check.update(self.vms)
        leader.scheduler.blames_steps = self.check.blames_steps
        leader.planner = Planner(
            leader.scheduler,
            ObjectiveOrder(),
            BestFit(),
            leader.advice,
            completion=self.check,
        )

    @staticmethod
    def vm(name, capacity=CAPACITY, labels=("a", "rack-1")):
        """Return the VM of a worker."""
        return FleetVm(
            name=f"vm-{name}",
            pool="p",
            phase=VmPhase.UP,
            data_centre="z",
            labels=labels,
            capacity=capacity,
            worker_id=name,
        )

    def demand_vms(self):
        """Return the VMs that the pool is sized for."""
        wall_ms = self.leader.now_s * 1000
        demand = measure_demand(
            self.leader.scheduler,
            vm_sizes(self.vms),
            wall_ms,
            lambda job: self.leader.planner.is_viable(job, wall_ms),
        )
        found = demand["p"]
        return max(found.vms, found.arriving_vms, found.spread_vms)

    def fail(self, run):
        """Let a run fail at once."""
        self.leader.end(run, EndKind.FAILED)


class TestFleet(ImpossibleCase):
    """Guards against VMs and workers that impossible jobs take from others."""

    IMPOSSIBLE = {
        "too large": {"cpu": CAPACITY.cpu_millicores + 1},
        "no such label": {"cpu": 8000, "required_label": "nowhere"},
        "both": {"cpu": 9000, "required_label": "a"},
    }

    def test_they_are_no_demand_for_vms(self):
        """Guards against VMs that move to a pool where nothing can start."""
        for number, fields in enumerate(self.IMPOSSIBLE.values()):
            for long_running in (False, True):
                spec = job_spec(step(6, long_running=long_running, **fields))
                self.leader.submit(f"j{number}{long_running}", spec)
        self.assertEqual(0, self.demand_vms())
        self.assertEqual([], self.leader.place())
        self.leader.submit("possible", job_spec(step(2, cpu=8000)))
        self.assertEqual(2, self.demand_vms())
        self.assertEqual(2, len(self.leader.place()))

    def test_no_new_job_waits_for_them(self):
        """Guards against refusals because of work that is never done."""
        leader = self.leader
        leader.scheduler.fleet_millicores = 3 * CAPACITY.cpu_millicores
        leader.submit("impossible", job_spec(step(90, cpu=9000)))
        wall_ms = leader.now_s * 1000
        outlook = leader.planner.outlook
        self.assertEqual({}, outlook.start_delays_ms(wall_ms))
        self.assertEqual({}, outlook.backlogs(leader.now_s, wall_ms))

    def test_possible_steps_start_after_other_jobs(self):
        """Guards against a job that holds workers before its useless end.

        Its first step could run. It still does where capacity is left, as a
        suitable VM may be added.
        """
        first = step(2, cpu=8000)
        last = step(1, cpu=9000, after=(0,))
        self.leader.submit("impossible", job_spec(first, last))
        self.leader.submit("j1", job_spec(step(2, cpu=8000)))
        jobs = [run.task.task_id.job_id for run in self.leader.place()]
        self.assertEqual(["j1", "j1", "impossible"], jobs)

    def test_vm_of_another_pool_or_kind_is_found(self):
        """Guards against a job that never gets the VMs that it could use."""
        self.leader.submit(
            "j1", job_spec(step(2, cpu=9000, required_label="gpu"))
        )
        large = attrs.evolve(CAPACITY, cpu_millicores=16000)
        self.assertEqual(0, self.demand_vms())
        for capacity, labels in ((large, ("a",)), (CAPACITY, ("gpu",))):
            self.check.update([*self.vms, self.vm("w4", capacity, labels)])
            self.assertEqual(0, self.demand_vms())
        other = attrs.evolve(self.vm("w4", large, ("gpu",)), pool="other")
        self.check.update([*self.vms, other])
        self.assertGreater(self.demand_vms(), 0)

    def test_labels_of_workers_count(self):
        """Guards against a label that only the list of VMs lacks."""
        self.leader.add_workers("w4", labels=("gpu",))
        spec = job_spec(step(1, required_label="gpu"))
        job = self.leader.submit("j1", spec)
        self.assertFalse(self.check.can_complete(job))
        workers = self.leader.scheduler.workers_in_service()
        self.check.update([*self.vms, *workers])
        self.assertTrue(self.check.can_complete(job))

    def test_nothing_is_excluded_before_the_first_list(self):
        """Guards against a new leader that takes all jobs for impossible."""
        check = FleetCheck()
        job = self.leader.submit("j1")
        self.assertTrue(check.can_complete(job))
        check.update([])
        self.assertTrue(check.can_complete(job))

    def test_no_advice_is_requested_for_unsuited_workers(self):
        """Guards against calls that delay those for other steps."""
        configuration = self.leader.scheduler.configuration
        policy = AdvicePolicy(decision_ms=1, per_worker_ms=1, validity_ms=9)
        queue = attrs.evolve(QUEUE, advice=policy)
        self.leader.scheduler.configuration = attrs.evolve(
            configuration, queues=(queue,)
        )
        self.leader.add_workers("w4", labels=("b", "rack-1"))
        self.leader.submit("j1", job_spec(step(1, required_label="b")))
        self.leader.place()
        request = self.leader.advice.next_request(self.leader.now_s)
        self.assertEqual(["w4"], list(request.workers))
        self.leader.advice.drop_request(request, self.leader.now_s)
        self.leader.submit("j2", job_spec(step(1, required_label="c")))
        self.leader.now_s += 1
        self.leader.place()
        request = self.leader.advice.next_request(self.leader.now_s)
        self.assertEqual(["w4"], list(request.workers))
        self.assertIsNone(self.leader.advice.next_request(self.leader.now_s))


class FailingCase(ImpossibleCase):
    """Base of tests with a step that fails on each worker."""

    def fail_everywhere(self, **fields):
        """Let all tasks of a job fail until it has failed on each worker."""
        self.leader.submit("bad", job_spec(step(6, cpu=4000, **fields)))
        for _ in range(2):
            for run in self.leader.place():
                self.fail(run)

    def accepting(self):
        """Return the workers that accept work."""
        now_s = self.leader.now_s
        workers = self.leader.scheduler.workers.values()
        return {w.worker_id for w in workers if w.accepts_work(now_s)}


class TestFailingSteps(FailingCase):
    """Guards against a step that fails everywhere and stops other work.

    Each worker on which two of its tasks failed was quarantined for 8 s.
    """

    def test_workers_stay_in_service(self):
        """Guards against the quarantine of workers on which others succeed."""
        self.fail_everywhere()
        self.assertEqual(set(self.names), self.accepting())

    def test_bad_worker_is_still_quarantined(self):
        """Guards against a worker that fails everything and stays in use."""
        self.leader.submit("j1", job_spec(step(6, cpu=4000)))
        for run in self.leader.place():
            if run.worker_id == "w2":
                self.fail(run)
            else:
                self.leader.end(run)
        self.assertEqual({"w1", "w3"}, self.accepting())

    def test_bad_worker_stays_in_quarantine_for_other_steps(self):
        """Guards against a quarantine that a failing step ends."""
        worker = self.leader.scheduler.workers["w1"]
        for job_id in ("j1", "j2"):
            job = self.leader.submit(job_id)
            task = job.occurrences[0].steps[0]
            worker.record_run_outcome(self.leader.now_s, True, task)
        self.fail_everywhere()
        self.assertNotIn("w1", self.accepting())

    def test_it_is_no_demand_and_starts_last(self):
        """Guards against VMs and workers for a step that always fails."""
        self.fail_everywhere()
        self.assertEqual(0, self.demand_vms())
        self.leader.submit("j1", job_spec(step(6, cpu=4000)))
        jobs = {run.task.task_id.job_id for run in self.leader.place()}
        self.assertEqual({"j1"}, jobs)

    def test_long_running_step_is_tried_with_one_task(self):
        """Guards against serving tasks that fail and start all the time."""
        self.fail_everywhere(long_running=True)
        self.assertEqual([], self.leader.place())
        self.leader.advance(FAILING_RETRY_S)
        (run,) = self.leader.place()
        self.assertEqual([], self.leader.place())
        self.leader.report(
            run.worker_id, [(run.task.task_id, run.number, 100)]
        )
        self.assertEqual(5, len(self.leader.place()))


class TestBaseline(FailingCase):
    """Guards against a check that cannot be switched off."""

    CHECK = NoCheck

    def test_jobs_are_treated_alike(self):
        """Guards against the check in the baseline."""
        self.leader.submit("j1", job_spec(step(1, cpu=9000)))
        self.assertGreater(self.demand_vms(), 1)

    def test_failures_count_against_workers(self):
        """Guards against the attribution to steps in the baseline."""
        self.fail_everywhere()
        self.assertEqual(set(), self.accepting())
