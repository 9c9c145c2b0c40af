"""Tests of the writes of the leader."""

import threading
import types
from unittest import mock

import testtools

from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.progress_writer import MAX_JOBS
from rosemarynotch._internal.scheduling.progress_writer import ProgressWriter
from rosemarynotch._internal.scheduling.records import PROGRESS_PREFIX
from rosemarynotch._internal.scheduling.records import ProgressRecord
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import step

MAX_VALUE_BYTES = 1_048_576


class Store:
    """A store that refuses transactions with a value that is too large."""

    def __init__(self):
        self.values = {}

    def commit(self, conditions, writes, deletes=()):
        if any(len(write.value) > MAX_VALUE_BYTES for write in writes):
            return STORE_UNAVAILABLE.with_reason("status 400")
        self.values |= {write.key: write.value for write in writes}
        return 7


class WriterCase(testtools.TestCase):
    """Base of tests with a writer and its store."""

    def setUp(self):
        super().setUp()
        self.leader = leader = Leader()
        leader.add_workers("w1")
        self.store = Store()
        self.controller = types.SimpleNamespace(
            lock=threading.RLock(),
            scheduler=leader.scheduler,
            planner=leader.planner,
            forecast=types.SimpleNamespace(turns=()),
            ports=types.SimpleNamespace(store=self.store),
            clock=types.SimpleNamespace(
                monotonic_s=lambda: leader.now_s,
                wall_s=lambda: leader.now_s,
            ),
            grant=types.SimpleNamespace(fence=1, term=1),
            worker_feed=mock.Mock(),
            log=mock.Mock(),
        )
        self.writer = ProgressWriter(self.controller)

    def record(self, job):
        """Return the record of a job in the store."""
        data = self.store.values[PROGRESS_PREFIX + job.job_id]
        return decode(data, ProgressRecord)


class LargeRecordTest(WriterCase):
    """Guards against a record that the store refuses again and again.

    It kept all jobs of its batch from being written, and so all ends of their
    workers from being acknowledged.
    """

    def test_long_checkpoints(self):
        odd = self.leader.submit("j1", job_spec(step(2)))
        other = self.leader.submit("j2")
        runs = sorted(
            self.leader.place(), key=lambda run: str(run.task.task_id)
        )
        self.leader.now_s += 0.1
        ends = [
            RunEnd(
                sequence=number,
                task=run.task.task_id,
                run=run.number,
                kind=kind,
                checkpoint=checkpoint,
            )
            for number, (run, kind, checkpoint) in enumerate(
                zip(
                    runs,
                    (EndKind.DONE, EndKind.STOPPED, EndKind.DONE),
                    ("", "x" * 2 * MAX_VALUE_BYTES, ""),
                ),
                1,
            )
        ]
        self.leader.report("w1", ends=ends)
        self.assertTrue(self.writer._write())
        worker = self.leader.scheduler.workers["w1"]
        self.assertEqual(3, worker.acked_sequence)
        self.assertEqual({}, self.leader.scheduler.dirty)
        (row,) = self.record(odd).steps
        self.assertEqual(((0,), {}), (row.done, row.checkpoints))
        self.assertTrue(self.record(other).phase.is_final)

    def test_usual_checkpoints(self):
        """Guards against work that is lost though the store could keep it."""
        job = self.leader.submit("j1", job_spec(step(5000)))
        for task in job.occurrences[0].steps[0].tasks:
            task.checkpoint = "0" * 16
        self.leader.scheduler.mark_dirty(job)
        self.assertTrue(self.writer._write())
        (row,) = self.record(job).steps
        self.assertEqual(5000, len(row.checkpoints))

    def test_long_running_task_that_often_fails(self):
        """Guards against records that grow with each failed run."""
        job = self.leader.submit("j1", job_spec(step(long_running=True)))
        task = TaskId.parse("j1.0.0.0")
        self.leader.now_s += 0.1
        self.leader.report(
            "w1",
            ends=[
                RunEnd(sequence=n, task=task, run=n, kind=EndKind.FAILED)
                for n in range(1, 1001)
            ],
        )
        self.assertFalse(job.phase.is_final)
        self.assertTrue(self.writer._write())
        self.assertEqual((), self.record(job).steps)


class OrderTest(WriterCase):
    """Guards against changes that are never written.

    Their run ends would never be acknowledged.
    """

    def test_jobs_that_always_change(self):
        """Guards against a batch that is always filled by the same jobs."""
        scheduler = self.leader.scheduler
        busy = [self.leader.submit(f"j{n}") for n in range(MAX_JOBS)]
        last = self.leader.submit("last")
        commit = self.store.commit

        def change_meanwhile(*arguments):
            for job in busy:
                scheduler.mark_dirty(job)
            return commit(*arguments)

        self.store.commit = change_meanwhile
        for job in (*busy, last):
            scheduler.mark_dirty(job)
        self.assertTrue(self.writer._write())
        self.assertTrue(self.writer._write())
        self.assertEqual(last.change, last.durable_change)

    def test_large_records(self):
        """Guards against a batch that takes more memory than it may."""
        schedule = job_spec(
            step(), repeat_count=5000, first_run_unix_ms=1, interval_ms=1
        )
        jobs = [self.leader.submit(f"j{n}", schedule) for n in range(6)]
        sizes = []
        commit = self.store.commit

        def measure(conditions, writes, deletes=()):
            sizes.append(sum(len(write.value) for write in writes))
            return commit(conditions, writes, deletes)

        self.store.commit = measure
        for job in jobs:
            for number in range(4900):
                job.mark_done(job.occurrences[number].steps[0].tasks[0])
            self.leader.scheduler.mark_dirty(job)
        while self.leader.scheduler.dirty:
            self.assertTrue(self.writer._write())
        self.assertGreater(sum(sizes), 1_500_000)
        self.assertLess(max(sizes), 1_200_000)
        self.assertEqual([4900] * 6, [len(self.record(j).steps) for j in jobs])
