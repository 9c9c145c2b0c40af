"""Tests of VMs that are due for maintenance and whose tasks fit nowhere else.

Such a VM was kept from new runs until it was empty, which it never was: its
serving task was only stopped while another worker had room for it.
"""

import attrs

from rosemarynotch._internal.scheduling.cordons import RETRY_S
from rosemarynotch._internal.scheduling.emptying import GIVE_BACK_S
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.maintenance import Wave
from rosemarynotch._internal.scheduling.planner import StopCommand
from rosemarynotch._internal.scheduling.ports import EndKind
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import step
from tests.unit.test_wave_records import WaveCase

ONLY = "only-here"


class CordonCase(WaveCase):
    """A wave of VM "a"; workers have the label of their VM."""

    def setUp(self):
        super().setUp()
        self.set_wave("a")

    def set_wave(self, *vms, **fields):
        """Replace the wave."""
        fields = {"duration_s": 25.0, "max_down": 1} | fields
        self.wave = Wave(number=1, vms=vms, **fields)

    def label(self, name, *labels):
        """Give the worker of a VM labels beside its kind and rack."""
        worker = self.worker(name)
        labels = (*worker.entry.labels, *labels)
        worker.entry = attrs.evolve(worker.entry, labels=labels)

    def worker(self, name):
        return self.leader.scheduler.workers[f"{name}-1"]

    def start(self, job_id, count=1, **fields):
        """Submit a job and start what has room; return the runs."""
        self.leader.submit(job_id, job_spec(step(count, **fields)))
        return self.place()

    def start_serving(self, job_id, count=1, **fields):
        """Start a serving step; its tasks are at work."""
        runs = self.start(job_id, count, long_running=True, **fields)
        self.report()
        return runs

    def place(self):
        self.leader.now_s = self.now_s
        return self.leader.place()

    def report(self, percent=100):
        """Apply reports of all workers with the runs that they have."""
        self.leader.now_s = self.now_s
        for name in list(self.leader.scheduler.workers):
            self.leader.report_runs(name, percent)

    def pass_time(self, seconds):
        """Let time pass in steps of the fleet manager; stops are obeyed."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.15
            self.report()
            self.step()
            self.mover.step(self.now_s)
            commands = self.leader.planner.reconcile_runs(self.now_s)
            for command in commands:
                if isinstance(command, StopCommand):
                    self.leader.end(command.run, EndKind.STOPPED)
            for job in list(self.leader.scheduler.dirty.values()):
                self.leader.scheduler.mark_written(job, job.change, 70)
            for worker in self.leader.scheduler.workers.values():
                worker.advance_acks()

    def is_cordoned(self, name="a"):
        return self.worker(name).is_cordoned


class PinnedTaskTest(CordonCase):
    """Guards against a cordon that never ends (rule LOST)."""

    def setUp(self):
        super().setUp()
        self.label("a", ONLY)

    def test_task_that_may_be_stopped(self):
        """Guards against a maintenance that waits for room elsewhere."""
        (run,) = self.start_serving(
            "j1", required_label=ONLY, max_unavailable=1
        )
        self.pass_time(1.0)
        self.assertEqual([], run.task.runs)
        self.assertEqual(["a"], self.ordered)

    def test_tasks_of_which_one_may_be_stopped(self):
        """Guards against a VM that serves nobody and is not maintained."""
        runs = self.start_serving(
            "j1", 2, required_label=ONLY, max_unavailable=1
        )
        self.pass_time(20.0)
        self.assertEqual([], self.ordered)
        phases = [run.phase for run in runs]
        self.assertEqual([RunPhase.ACTIVE] * 2, phases)
        self.assertFalse(self.is_cordoned())
        (run,) = self.start("j2", required_label=ONLY)
        self.assertEqual("a-1", run.worker_id)

    def test_others_of_the_wave(self):
        """Guards against a wave that waits for a VM it cannot maintain."""
        self.set_wave("a", "b")
        self.start_serving("j1", 2, required_label=ONLY, max_unavailable=1)
        self.pass_time(2.0)
        self.assertEqual(["b"], self.ordered)

    def test_tasks_that_may_be_stopped_together(self):
        self.start_serving("j1", 2, required_label=ONLY, max_unavailable=2)
        self.pass_time(1.0)
        self.assertEqual(["a"], self.ordered)

    def test_unavailable_tasks_count(self):
        """Guards against a budget that is exceeded (rule AVAIL)."""
        self.label("b", ONLY)
        fields = {"cpu": 8000, "required_label": ONLY, "max_unavailable": 1}
        first, second = self.start_serving("j1", 2, **fields)
        self.leader.end(second, EndKind.FAILED)
        self.pass_time(2.0)
        self.assertIs(RunPhase.ACTIVE, first.phase)
        self.assertEqual([], self.ordered)

    def test_step_without_a_budget(self):
        """Guards against a VM that is never maintained for such a step."""
        self.start_serving("j1", 2, required_label=ONLY)
        self.pass_time(1.0)
        self.assertEqual(["a"], self.ordered)

    def test_no_stop_while_the_maintenance_has_to_wait(self):
        """Guards against tasks that are stopped earlier than needed."""
        self.set_wave("a", "b")
        self.now_s += 1.0
        (batch,) = self.start("j2", required_label=ONLY)
        (run,) = self.start_serving(
            "j1", required_label=ONLY, max_unavailable=1
        )
        # VM b has no runs and is maintained first.
        self.pass_time(1.0)
        self.assertEqual(["b"], self.ordered)
        self.assertIs(RunPhase.ACTIVE, run.phase)
        self.maintain("b")
        self.pass_time(1.0)
        self.assertIs(RunPhase.ACTIVE, run.phase)
        # The batch task on VM a ends by itself.
        self.leader.end(batch)
        self.pass_time(1.0)
        self.assertEqual(["b", "a"], self.ordered)

    def test_vm_that_comes_to_suit(self):
        """Guards against a VM that is left out for ever."""
        runs = self.start_serving(
            "j1", 2, required_label=ONLY, max_unavailable=1
        )
        self.pass_time(2.0)
        self.assertFalse(self.is_cordoned())
        self.label("b", ONLY)
        self.pass_time(1.0)
        self.assertTrue(self.is_cordoned())
        stopped = [run for run in runs if not run.task.runs]
        self.assertEqual(1, len(stopped))

    def test_vm_of_another_pool(self):
        """Guards against a task that waits for a VM which never moves.

        VMs move to a pool without regard to labels.
        """
        self.show("c", pool="q")
        self.vms["c"] = attrs.evolve(self.vms["c"], labels=("a", "r", ONLY))
        self.start_serving("j1", required_label=ONLY, max_unavailable=1)
        self.pass_time(1.0)
        self.assertEqual(["a"], self.ordered)


class FullPoolTest(CordonCase):
    """Guards against a cordon that lasts as long as the pool is full."""

    def setUp(self):
        super().setUp()
        # VMs of busy pools are only taken when the time becomes short.
        self.set_wave("a", duration_s=1.0)
        self.fill = {"cpu": 8000, "max_unavailable": 1}

    def test_task_that_may_be_stopped(self):
        """Guards against a stop while there may soon be room elsewhere."""
        runs = self.start_serving("j1", 2, **self.fill)
        self.pass_time(2.0)
        phases = [run.phase for run in runs]
        self.assertEqual([RunPhase.ACTIVE] * 2, phases)
        self.pass_time(2.0)
        self.assertEqual(["a"], self.ordered)

    def test_task_that_may_not_be_stopped(self):
        """Guards against a VM that is kept from new runs meanwhile."""
        runs = self.start_serving("j1", 3, **self.fill)
        self.assertEqual(2, len(runs))
        self.pass_time(GIVE_BACK_S - 1)
        self.assertTrue(self.is_cordoned())
        self.pass_time(2.0)
        self.assertFalse(self.is_cordoned())
        self.pass_time(RETRY_S)
        self.assertTrue(self.is_cordoned())
        # The pauses become longer.
        self.pass_time(GIVE_BACK_S + 1)
        self.assertFalse(self.is_cordoned())
        self.pass_time(RETRY_S + 1)
        self.assertFalse(self.is_cordoned())
        self.assertEqual([], self.ordered)

    def test_room_elsewhere(self):
        """Guards against a stop where the task could have moved."""
        self.show("c", worker_id="c-1")
        runs = self.start_serving("j1", 2, **self.fill)
        moved = [run for run in runs if run.worker_id == "a-1"]
        self.pass_time(1.0)
        for run in moved:
            self.assertEqual([], run.task.runs)
            (again,) = self.place()
            self.assertNotEqual("a-1", again.worker_id)
        self.pass_time(1.0)
        self.assertEqual(["a"], self.ordered)
