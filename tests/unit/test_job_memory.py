"""Tests of what the leader keeps in memory for jobs.

A leader exceeded the memory of its machine with 58 small records: it kept
objects for each task of each occurrence of a scheduled job, due or not. Each
next leader read the same jobs and ended in the same way.
"""

import gc
import tracemalloc

import testtools

from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.job_memory import JobMemory
from rosemarynotch._internal.scheduling.job_sizes import spec_bytes
from rosemarynotch._internal.scheduling.job_sizes import TASK_BYTES
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import MAX_UNTOUCHED_OCCURRENCES
from rosemarynotch._internal.scheduling.memory_admission import MemoryAdmission
from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.policy import measure_demand
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.records import LoadRecord
from rosemarynotch._internal.scheduling.records import MemoryUse
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from tests.lib.scheduling import CAPACITY
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import QUEUE
from tests.lib.scheduling import step

MAX_TASKS = 5000
NOW_MS = 1_000_000
# Far more than the unit tests of a step need, and more than any worker holds.
WIDE = step(MAX_TASKS)
MANY_STEPS = [step(10, after=tuple(range(n))[-9:]) for n in range(200)]


def schedule(*steps, count=MAX_TASKS, first_ms=NOW_MS, interval_ms=1):
    """Return a scheduled job whose occurrences are due from now on."""
    return job_spec(
        *steps,
        repeat_count=count,
        first_run_unix_ms=first_ms,
        interval_ms=interval_ms,
    )


SHAPES = {
    "small": job_spec(),
    "payload": JobSpec(payload="x" * 4000, steps=(step(),)),
    "wide": job_spec(WIDE),
    "wide gang": job_spec(step(MAX_TASKS, is_gang=True)),
    "two wide steps": job_spec(step(2500), step(2500, after=(0,))),
    "many steps": job_spec(*MANY_STEPS),
    "far ahead": schedule(step(), first_ms=10**12, interval_ms=60_000),
    "all due": schedule(step(), interval_ms=0),
    "all due, several steps": schedule(*MANY_STEPS[:5], count=100),
}


class EstimateTest(testtools.TestCase):
    """Guards against jobs that take more memory than is counted."""

    def test_shapes(self):
        """Guards against a shape whose size nothing bounds."""
        for name, spec in SHAPES.items():
            count = 3 if spec.steps is SHAPES["many steps"].steps else 20
            taken, counted = self.measure(spec, count)
            self.assertLessEqual(taken, counted, name)
            self.assertLess(counted, count * 500_000, name)

    def measure(self, spec, count):
        """Add jobs, plan a pass and start what has room.

        :returns: bytes that were taken, and those that were counted
        """
        leader = Leader()
        leader.add_workers("w1", "w2")
        # What is only made once does not count.
        leader.submit("first")
        leader.place()
        gc.collect()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        for number in range(count):
            # As read from the store, so that jobs share no objects.
            submission = SubmissionRecord(
                policy=QUEUE,
                organisation="o",
                spec=spec,
                accepted_unix_ms=NOW_MS,
                attempt_id=f"{number:032x}",
            )
            submission = decode(encode(submission), SubmissionRecord)
            leader.scheduler.add_job(f"{number:016x}", submission, 10)
        measure_demand(leader.scheduler, {"": CAPACITY}, NOW_MS)
        leader.place()
        leader.planner.waiting(NOW_MS)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        memory = leader.scheduler.memory
        memory.measure(leader.scheduler.jobs.values())
        return after - before, memory.used_bytes

    def test_ended_jobs(self):
        """Guards against payloads and tasks that are kept after the end."""
        leader = Leader()
        spec = JobSpec(payload="x" * 4000, steps=(WIDE,))
        job = leader.submit("j1", spec)
        leader.add_workers("w1")
        leader.place()
        leader.scheduler.cancel("j1")
        leader.now_s += 1.0
        leader.report("w1")
        self.assertEqual("", job.submission.spec.payload)
        self.assertEqual(0, job.held_tasks)
        self.assertEqual([], job.occurrences.held)
        self.assertLess(job.memory_bytes, len(spec.payload))


class ScheduledJobTest(testtools.TestCase):
    """Guards against occurrences that are lost when few of them are held."""

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.leader.add_workers("w1", "w2")

    def complete(self, job):
        """Start and end runs until nothing starts any more."""
        ended = []
        while runs := self.leader.place():
            for run in runs:
                self.leader.end(run)
                ended.append(run.task.task_id)
        return ended

    def test_all_occurrences_run_once(self):
        """Guards against due occurrences that never start."""
        spec = schedule(step(2), step(after=(0,)), count=100)
        job = self.leader.submit("j1", spec)
        self.leader.now_s += 1.0
        self.leader.advance(0.0)
        ended = self.complete(job)
        self.assertIs(Phase.COMPLETED, job.phase)
        self.assertEqual(300, len(set(ended)))
        self.assertEqual(300, len(ended))

    def test_blocked_step_holds_up_no_other_occurrence(self):
        """Guards against a bound that waits for a step without a worker.

        Every occurrence waits for a worker with a label after its first step.
        """
        spec = schedule(step(), step(after=(0,), required_label="x"))
        self.leader.submit("j1", spec)
        self.leader.now_s += 1.0
        self.leader.advance(0.0)
        for _ in range(3 * MAX_UNTOUCHED_OCCURRENCES // 16):
            runs = self.leader.place()
            self.assertEqual(16, len(runs))
            for run in runs:
                self.leader.end(run)

    def test_progress_survives_a_change_of_the_leader(self):
        """Guards against done occurrences that run again."""
        spec = schedule(step(2), step(after=(0,)), count=50)
        job = self.leader.submit("j1", spec)
        self.leader.now_s += 1.0
        self.leader.advance(0.0)
        done = set()
        for _ in range(3):
            for run in self.leader.place()[:9]:
                self.leader.end(run)
                done.add(run.task.task_id)
        record = job.progress()
        self.assertLess(job.occurrences.held_count, 50)
        later = Leader(term=2, started_revision=50)
        later.now_s = self.leader.now_s + 10.0
        later.add_workers("w1", "w2")
        restored = later.submit("j1", spec, progress=record)
        self.assertEqual(record, restored.progress())
        self.leader = later
        ended = self.complete(restored)
        self.assertIs(Phase.COMPLETED, restored.phase)
        self.assertEqual(set(), done & set(ended))
        self.assertEqual(150, len(done) + len(ended))

    def test_late_end_of_a_done_occurrence(self):
        """Guards against an end that takes a done occurrence back."""
        job = self.leader.submit("j1", schedule(step(), count=2))
        self.leader.now_s += 1.0
        self.leader.advance(0.0)
        first, second = self.leader.place()
        self.leader.end(first)
        self.assertEqual([1], [o.number for o in job.occurrences.held])
        self.leader.end(first, EndKind.FAILED)
        self.assertIs(Phase.RUNNING, job.phase)
        self.leader.end(second)
        self.assertIs(Phase.COMPLETED, job.phase)

    def test_demand_counts_occurrences_that_are_not_held(self):
        """Guards against a pool that gets no VMs for what is due."""
        self.leader.submit("j1", schedule(step(), count=1000))
        self.leader.now_s += 1.0
        wall_ms = self.leader.now_s * 1000
        for _ in range(2):
            demand = measure_demand(
                self.leader.scheduler, {"": CAPACITY}, wall_ms
            )
            self.assertAlmostEqual(125, demand["p"].vms, places=3)
            self.leader.advance(0.0)
            self.leader.place()


class WideStepTest(testtools.TestCase):
    """Guards against objects for tasks that cannot start yet."""

    def test_held_tasks(self):
        leader = Leader()
        leader.add_workers("w1", "w2")
        job = leader.submit("j1", job_spec(WIDE))
        self.assertEqual(16, len(leader.place()))
        leader.place()
        self.assertEqual(16, job.held_tasks)

    def test_gang_without_room(self):
        """Guards against the members of a gang that does not fit."""
        leader = Leader()
        leader.add_workers("w1", "w2")
        gang = step(MAX_TASKS, is_gang=True)
        job = leader.submit("j1", job_spec(gang))
        self.assertEqual([], leader.place())
        self.assertEqual(0, job.held_tasks)

    def test_tasks_without_a_size(self):
        """Guards against runs that no capacity bounds."""
        leader = Leader()
        leader.scheduler.memory = JobMemory(200 * TASK_BYTES)
        leader.add_workers("w1")
        empty = step(MAX_TASKS, cpu=0, uses_idle_cpu=True)
        job = leader.submit("j1", job_spec(empty))
        leader.scheduler.memory.measure([job])
        count = len(leader.place())
        self.assertGreater(count, 0)
        self.assertLess(count, 100)
        # Starts count before the memory is measured again.
        self.assertEqual([], leader.place())
        leader.scheduler.memory.measure([job])
        self.assertEqual([], leader.place())
        for run in list(leader.scheduler.workers["w1"].runs.values()):
            leader.end(run)
        leader.scheduler.memory.measure([job])
        self.assertEqual(count, len(leader.place()))


class MemoryAdmissionTest(testtools.TestCase):
    """Guards against accepted jobs that the leader cannot hold."""

    def setUp(self):
        super().setUp()
        self.admission = MemoryAdmission()
        self.spec = job_spec()
        self.size = spec_bytes(self.spec)

    def excess(self, used, own=None, limit=1_000_000, written_ms=NOW_MS):
        """Return why a job is refused, empty if it is not."""
        memory = MemoryUse(
            limit_bytes=limit,
            used_bytes=used,
            by_organisation={} if own is None else {"o": own},
        )
        load = LoadRecord(written_unix_ms=written_ms, job_memory=memory)
        return self.admission.find_excess("o", self.spec, load)

    def test_calm(self):
        """Guards against refusals while there is memory, or none is told."""
        self.assertEqual("", self.excess(0))
        self.assertEqual("", self.excess(300_000, own=200_000))
        self.assertEqual("", self.admission.find_excess("o", self.spec, None))
        older = LoadRecord(written_unix_ms=NOW_MS)
        self.assertEqual("", self.admission.find_excess("o", self.spec, older))

    def test_full(self):
        """Guards against a refusal that does not tell the bound."""
        reason = self.excess(600_000)
        self.assertIn("accepted jobs would take 0.6 MB", reason)
        self.assertIn("at most 0.6 MB are allowed", reason)

    def test_organisation_leaves_room_for_others(self):
        """Guards against one organisation that keeps out all others."""
        self.assertIn("its organisation", self.excess(300_000, own=300_000))
        memory = MemoryUse(
            limit_bytes=1_000_000,
            used_bytes=300_000,
            by_organisation={"o": 300_000},
        )
        load = LoadRecord(written_unix_ms=NOW_MS, job_memory=memory)
        reason = self.admission.find_excess("other", self.spec, load)
        self.assertEqual("", reason)

    def test_jobs_since_the_last_record(self):
        """Guards against a burst between two records of the leader."""
        accepted = 0
        while not self.excess(0):
            self.admission.record_accepted("o", self.spec, NOW_MS + accepted)
            accepted += 1
        self.assertEqual(300_000 // self.size, accepted)
        self.assertEqual("", self.excess(0, written_ms=NOW_MS + 10_000))


class CompactSetTest(testtools.TestCase):
    """Guards against numbers that are lost or made up by compact storage."""

    def test_due_count(self):
        """Guards against occurrences that are counted too early or late."""
        leader = Leader()
        job = leader.submit("j1", schedule(step(), count=5, interval_ms=100))
        counts = [job.due_count(NOW_MS + ms) for ms in (-1, 0, 99, 100, 9999)]
        self.assertEqual([0, 1, 1, 2, 5], counts)
        at_once = leader.submit("j2", schedule(step(), count=5, interval_ms=0))
        self.assertEqual(5, at_once.due_count(NOW_MS))
        self.assertIsInstance(job, Job)
