"""Record of jobs that no leader has started, for the next leader."""

import threading
from typing import TYPE_CHECKING

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.policy import beyond_horizon
from rosemarynotch._internal.scheduling.ports import CommitConflict
from rosemarynotch._internal.scheduling.ports import Condition
from rosemarynotch._internal.scheduling.ports import Write
from rosemarynotch._internal.scheduling.records import LEADER_KEY
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import UNSTARTED_KEY
from rosemarynotch._internal.scheduling.records import UnstartedRecord

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["UnstartedJobs"]

# The record is renewed at this interval while it changes, and at once when a
# job that it names could start.
RENEWAL_INTERVAL_S = 0.15
# Each renewal sorts the waiting jobs.
MIN_INTERVAL_S = 0.03
RETRY_S = 0.1
# With fewer waiting jobs nothing is recorded.
MIN_BACKLOG_JOBS = 20
# Larger backlogs are recorded in part. Keeps the record below 40 kB.
MAX_JOBS = 2000


class UnstartedJobs:
    """Names the jobs that this leader does not start before it says so.

    A job that the record in the store may name is not started: the next
    leader relies on the record and starts such a job at once. To start it,
    this leader first replaces the record by one that does not name it. Each
    write expects the record unchanged, so that a late write cannot bring an
    earlier one back.

    Without a backlog nothing is recorded or written.

    :ivar inherited: jobs that no earlier leader has started. A leader of an
        earlier version may have led after an older record was written, so
        only the record of the last term counts
    """

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self._revision = 0
        # Jobs that the stored record may name, all until it is known.
        self._withheld: frozenset[str] | None = None
        # Withheld jobs that had room to start; they are not named again.
        self._wanted: set[str] = set()
        self._is_failing = False
        self._wake = threading.Event()
        self.inherited: frozenset[str] = frozenset()

    def load(self) -> bool:
        """Read the record of the last leader.

        :returns: whether the store answered; if not, call this again
        """
        item = self._controller.ports.store.get(UNSTARTED_KEY)
        if isinstance(item, Failure):
            if item.is_a(STORE_KEY_MISSING):
                self._withheld = frozenset()
                return True
            return False
        self._revision = item.revision
        record = decode(item.value, UnstartedRecord)
        if isinstance(record, Failure):
            # A leader of another version may be able to read it, so no
            # inherited job starts before it is replaced.
            self._controller.log("unstarted jobs refused", why=record.reason)
            self._wake.set()
            return True
        self._withheld = frozenset(record.jobs)
        if record.term == self._controller.grant.term - 1:
            self.inherited = self._withheld
        if record.jobs:
            self._wake.set()
        return True

    def may_start(self, job: Job) -> bool:
        """Return whether a job may be started, or requests a write for it."""
        withheld = self._withheld
        if withheld is None:
            is_withheld = job.created_revision <= self._revision
        else:
            is_withheld = job.job_id in withheld
        if is_withheld:
            self._wanted.add(job.job_id)
            self._wake.set()
        return not is_withheld

    def run(self) -> None:
        """Renew the record until the term ends."""
        controller = self._controller
        while controller.is_running:
            self._wake.wait(RENEWAL_INTERVAL_S)
            self._wake.clear()
            controller.stop.wait(MIN_INTERVAL_S)
            if not self._renew():
                controller.stop.wait(RETRY_S)
                self._wake.set()

    def _renew(self) -> bool:
        """Write the record if it has changed; return whether it is stored."""
        controller = self._controller
        with controller.lock:
            jobs = frozenset(self._choose())
            if jobs == self._withheld:
                return True
            # The write may be applied although it has no answer.
            if self._withheld is not None:
                self._withheld |= jobs
        record = UnstartedRecord(
            term=controller.grant.term, jobs=tuple(sorted(jobs))
        )
        answer = controller.ports.store.commit(
            [
                Condition(LEADER_KEY, controller.grant.fence),
                Condition(UNSTARTED_KEY, self._revision),
            ],
            [Write(UNSTARTED_KEY, encode(record))],
        )
        if isinstance(answer, CommitConflict):
            return self._handle_conflict(answer)
        if isinstance(answer, Failure):
            if not self._is_failing:
                controller.log("unstarted jobs not written", why=answer.reason)
            self._is_failing = True
            return False
        self._is_failing = False
        self._revision, self._withheld = answer, jobs
        return True

    def _choose(self) -> list[str]:
        """Return the jobs to name; none of them has had a run."""
        scheduler = self._controller.scheduler
        self._wanted &= scheduler.active.keys()
        waiting = sum(
            job.phase is Phase.QUEUED for job in scheduler.active.values()
        )
        if waiting < MIN_BACKLOG_JOBS:
            return []
        wall_ms = self._controller.clock.wall_s() * 1000
        jobs: list[str] = []
        for pool, order in self._controller.planner.waiting(wall_ms).items():
            cores = scheduler.pool_millicores(pool) / 1000
            jobs += [
                job_id
                for job_id in beyond_horizon(order, cores)
                if job_id not in self._wanted
                and scheduler.was_never_started(job_id)
            ]
        return jobs[:MAX_JOBS]

    def _handle_conflict(self, conflict: CommitConflict) -> bool:
        """Adopt the revision of an earlier write whose answer was lost."""
        controller = self._controller
        found = {item.key: item for item in conflict.items}
        leader = found.get(LEADER_KEY)
        if leader is None or leader.revision != controller.grant.fence:
            controller.leadership.step_down(
                controller.grant, "the leader's key in the store has changed"
            )
            return False
        record = found.get(UNSTARTED_KEY)
        self._revision = record.revision if record else 0
        self._wake.set()
        return True
