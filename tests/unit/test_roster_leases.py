"""Tests of what the roster and the last term tell of leases on workers."""

import attrs

from rosemarynotch._internal.scheduling.ended_term import EndedTerm
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.progress_writer import ProgressWriter
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import LEASE_S
from tests.lib.scheduling import step
from tests.unit.test_roster import RosterCase


class SilentWorkerTest(RosterCase):
    """Guards against a leader that waits for leases that nobody granted.

    The platform lists workers for seconds after their VMs have moved. A new
    leader named them in the roster, and the leader after it waited 5 s for
    each of them before it started any inherited task of their pools.
    """

    def test_worker_that_never_reports(self):
        self.list_workers(Leader.entry("w1"), Leader.entry("w2"))
        self.assertTrue(self.writer._write())
        self.assertEqual({"w1", "w2"}, set(self.store.roster()))
        self.leader.report("w1")
        self.leader.now_s += 1.0
        self.list_workers(Leader.entry("w1"), Leader.entry("w2"))
        self.assertTrue(self.writer._write())
        self.assertEqual({"w1"}, set(self.store.roster()))

    def test_first_report_while_the_roster_is_written_without_it(self):
        """Guards against a run on a worker that the roster no longer names."""
        self.leader.submit("j1")
        self.list_workers(Leader.entry("w1"))
        self.assertTrue(self.writer._write())
        self.leader.now_s += 1.0
        self.list_workers(Leader.entry("w1"))
        self.store.loses_calls = True
        self.assertFalse(self.writer._write())
        self.leader.report("w1")
        self.assertEqual([], self.leader.place())
        self.store.loses_calls = False
        self.assertTrue(self.writer._write())
        self.assertEqual(1, len(self.leader.place()))
        self.store.apply_late()
        self.assertEqual({"w1"}, set(self.store.roster()))

    def test_inherited_worker_stays_until_its_lease_has_ended(self):
        self.list_workers(Leader.entry("w1"))
        self.assertTrue(self.writer._write())
        self.lead(term=2)
        self.leader.now_s += LEASE_S
        self.list_workers(Leader.entry("w1"))
        self.assertTrue(self.writer._write())
        self.assertEqual({"w1"}, set(self.store.roster()))
        self.leader.now_s += 1.0
        self.list_workers(Leader.entry("w1"))
        self.assertTrue(self.writer._write())
        self.assertEqual({}, self.store.roster())


class NextTermTest(RosterCase):
    """Guards against leases that are counted anew in each term.

    A leader that lost the store for 4 s and led again waited another 5 s for
    workers that had been silent all the while.
    """

    def lead_again(self, term, after_s):
        """Lead a later term; returns pools with unknown runs."""
        ended = EndedTerm(
            term=self.controller.grant.term,
            lease_ends_s=self.scheduler.lease_ends_s(self.leader.now_s),
        )
        now_s = self.leader.now_s + after_s
        self.lease_ends_s = ended.known_lease_ends_s(term)
        self.lead(term, now_s)
        return self.scheduler.pools_with_unknown_runs(now_s)

    def hear(self, lease_s):
        """Report from a worker and grant it a lease."""
        self.list_workers(Leader.entry("w1"))
        self.assertTrue(self.writer._write())
        self.leader.report("w1")
        worker = self.scheduler.workers["w1"]
        worker.lease_until_ms = worker.clock_ms + round(lease_s * 1000)

    def test_lease_of_the_last_term(self):
        self.hear(lease_s=5.0)
        self.assertEqual({"p"}, self.lead_again(term=2, after_s=4.9))
        self.assertEqual(set(), self.lead_again(term=3, after_s=0.6))

    def test_another_leader_in_between(self):
        self.hear(lease_s=0.0)
        self.assertEqual({"p"}, self.lead_again(term=3, after_s=4.9))

    def test_lease_granted_before_the_first_report_was_applied(self):
        """Guards against a lease that only the link of the worker knows."""
        self.list_workers(Leader.entry("w1"))
        self.assertTrue(self.writer._write())
        self.scheduler.workers["w1"].granted_until_ms = 1
        self.assertEqual({"p"}, self.lead_again(term=2, after_s=4.9))


class UnlistedWorkerTest(RosterCase):
    """Guards against a cap that is taken by workers that are gone.

    A new leader knew no capacity of workers that were no longer listed, and
    reserved the size of all waiting tasks for their unknown runs. An
    organisation with a backlog then started nothing for 5 s, not even jobs
    that were accepted meanwhile.
    """

    def take_over(self):
        """Lead beside a silent worker; return the starts of a new job."""
        self.list_workers(Leader.entry("w1"))
        self.assertTrue(self.writer._write())
        self.leader.report("w1")
        self.lead(term=2)
        self.list_workers(Leader.entry("w2"), Leader.entry("w3"))
        self.assertTrue(self.writer._write())
        self.leader.report("w2")
        self.leader.report("w3")
        cap = Resources(cpu_millicores=12000, memory_mb=99999)
        self.leader.set_cap(cap)
        self.leader.submit("1" * 16, job_spec(step(40)), revision=10)
        self.leader.submit("2" * 16, job_spec(step(16)), revision=30)
        return [run.task.task_id.job_id for run in self.leader.place()]

    def test_cap_beside_a_worker_that_is_gone(self):
        self.assertEqual(["2" * 16] * 4, self.take_over())

    def test_roster_without_capacities(self):
        """Guards against a cap exceeded after an older leader (QUOTA)."""
        encode_roster = self.writer._roster
        self.patch(
            ProgressWriter,
            "_roster",
            lambda writer: attrs.evolve(
                encode_roster(), largest_capacity=None
            ),
        )
        self.assertEqual([], self.take_over())

    def test_worker_that_grows_after_the_roster_was_written(self):
        """Guards against a run on more than the next leader reserves."""
        self.list_workers(Leader.entry("w1"))
        self.assertTrue(self.writer._write())
        self.leader.report("w1")
        capacity = Resources(cpu_millicores=64000, memory_mb=8000)
        entry = attrs.evolve(Leader.entry("w1"), capacity=capacity)
        self.list_workers(entry)
        self.leader.submit("j1")
        self.assertEqual([], self.leader.place())
        self.assertTrue(self.writer._write())
        self.assertEqual(1, len(self.leader.place()))
        self.assertEqual(capacity, self.store.record().largest_capacity)
