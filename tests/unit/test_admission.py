"""Tests of what nodes accept and refuse, and when refused callers return."""

from concurrent.futures import ThreadPoolExecutor
import types

import attrs
import testtools

from rosemarynotch._internal.exceptions import OVERLOADED
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.intake import JobIntake
from rosemarynotch._internal.scheduling.job_api import CallerRequest
from rosemarynotch._internal.scheduling.job_api import JobApi
from rosemarynotch._internal.scheduling.model import Configuration
from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.policy import BacklogAdmission
from rosemarynotch._internal.scheduling.policy import BacklogRetry
from rosemarynotch._internal.scheduling.policy import FleetAdmission
from rosemarynotch._internal.scheduling.policy import start_delay_ms
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.records import Backlog
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX
from rosemarynotch._internal.scheduling.records import LOAD_KEY
from rosemarynotch._internal.scheduling.records import LoadRecord
from rosemarynotch._internal.scheduling.records import SizeLoad
from rosemarynotch._internal.scheduling.refused_jobs import MAX_JOBS
from rosemarynotch._internal.scheduling.refused_jobs import RefusedJobs
from rosemarynotch._internal.utils.metrics import Metrics
from tests.lib.clocks import ManualClock
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import QUEUE
from tests.lib.scheduling import step

# Its result is worthless 7.5 s after its acceptance, so it may wait 6.5 s.
SPEC = job_spec(step(8))
LONGEST_WAIT_MS = 6500


def load_record(load, written_unix_ms=0):
    return LoadRecord(written_unix_ms=written_unix_ms, backlogs={"p/0": load})


def is_accepted(load, job_id="0" * 16, spec=SPEC, was_refused=False):
    decision = BacklogAdmission().decide(
        QUEUE, job_id, spec, load_record(load), 0.0, was_refused
    )
    return decision.is_accepted


def job_ids(count):
    return [f"{number * 7919:016x}" for number in range(count)]


class TestDelay(testtools.TestCase):
    """Guards against refusals of jobs that would be served in time."""

    def test_capacity_of_other_pools_arrives_after_a_move(self):
        """Guards against a wait that counts VMs which can still come."""
        load = Backlog(own_cores=10, other_cores=90, base_core_ms=100_000)
        # 2 s with 10 cores leave 80,000, which 100 cores do in 0.8 s.
        self.assertAlmostEqual(2800, start_delay_ms(load, 0, 0))
        alone = attrs.evolve(load, other_cores=0)
        self.assertAlmostEqual(10_000, start_delay_ms(alone, 0, 0))

    def test_urgent_work_of_other_pools_delays_the_moves(self):
        """Guards against counting VMs that more urgent queues keep."""
        load = Backlog(
            own_cores=10,
            other_cores=90,
            base_core_ms=100_000,
            other_core_ms=180_000,
        )
        self.assertAlmostEqual(4600, start_delay_ms(load, 0, 0))

    def test_only_smaller_jobs_go_before(self):
        """Guards against refusing small jobs behind a backlog of large ones.

        The order starts small jobs first.
        """
        load = Backlog(
            own_cores=10,
            sizes=(
                SizeLoad(work_core_ms=1000, ahead_core_ms=5000),
                SizeLoad(work_core_ms=9000, ahead_core_ms=500_000),
            ),
        )
        self.assertEqual(0, start_delay_ms(load, 900, 0))
        self.assertEqual(500, start_delay_ms(load, 1000, 0))
        self.assertEqual(50_000, start_delay_ms(load, 9000, 0))

    def test_arrivals_since_the_record_count(self):
        """Guards against nodes that accept a burst between two records."""
        row = SizeLoad(work_core_ms=1, ahead_core_ms=1000, arriving_cores=20)
        load = Backlog(own_cores=10, sizes=(row,))
        self.assertEqual(100, start_delay_ms(load, 1, 0))
        self.assertEqual(1100, start_delay_ms(load, 1, 500))


class TestDecision(testtools.TestCase):
    """Guards against all nodes accepting or refusing everything at once."""

    def refused_share(self, wait_ms):
        load = Backlog(own_cores=1, base_core_ms=wait_ms)
        ids = job_ids(400)
        refused = [each for each in ids if not is_accepted(load, each)]
        return len(refused) / len(ids)

    def test_useful_jobs_are_accepted(self):
        """Guards against refusing what would still be of worth."""
        self.assertEqual(0.0, self.refused_share(LONGEST_WAIT_MS))

    def test_share_of_refused_jobs_rises(self):
        """Guards against a threshold at which all callers return together."""
        half = self.refused_share(LONGEST_WAIT_MS * 1.25)
        self.assertGreater(half, 0.35)
        self.assertLess(half, 0.65)
        self.assertEqual(1.0, self.refused_share(LONGEST_WAIT_MS * 1.5))

    def test_jobs_that_were_refused_are_favoured(self):
        """Guards against callers that are refused until they give up."""
        load = Backlog(own_cores=1, base_core_ms=LONGEST_WAIT_MS * 1.4)
        for job_id in job_ids(50):
            self.assertTrue(is_accepted(load, job_id, was_refused=True))

    def test_retries_are_spread_and_favour_refused_jobs(self):
        """Guards against callers that all return at the same moment."""
        retry = BacklogRetry()
        first = [retry.retry_s(2000, 8500, j, 0) for j in job_ids(100)]
        again = [retry.retry_s(2000, 8500, j, 2) for j in job_ids(100)]
        self.assertGreaterEqual(len(set(first)), 4)
        self.assertGreaterEqual(min(first), 2)
        self.assertLessEqual(max(again), 3)


class TestOutlook(testtools.TestCase):
    """Guards against a record that does not tell what waits."""

    def loads(self, leader):
        return leader.planner.outlook.backlogs(
            leader.now_s, leader.now_s * 1000
        )

    def test_evacuated_workers_are_no_capacity(self):
        """Guards against jobs accepted for a data centre without starts."""
        leader = Leader()
        leader.add_workers("w1", "w2")
        leader.scheduler.fleet_millicores = 8000
        leader.scheduler.workers["w2"].is_evacuated = True
        for job_id in job_ids(30):
            leader.submit(job_id, job_spec(step(8)))
        (backlog,) = self.loads(leader).values()
        self.assertEqual(8.0, backlog.own_cores)

    def test_half_of_the_fleet_is_lost(self):
        """Guards against accepting jobs that end too late.

        One of two workers with 8 cores each is lost, while jobs arrive at
        three times the capacity of both.
        """
        leader = Leader()
        leader.add_workers("w1")
        leader.scheduler.fleet_millicores = 8000
        admission = BacklogAdmission()
        accepted = 0
        for job_id in job_ids(60):
            leader.now_s += 1 / 6
            wall_ms = leader.now_s * 1000
            record = load_record(self.loads(leader).get("p/0", Backlog()))
            record = attrs.evolve(record, written_unix_ms=round(wall_ms))
            if admission.decide(
                QUEUE, job_id, SPEC, record, wall_ms
            ).is_accepted:
                leader.submit(job_id, SPEC)
                accepted += 1
        # The pool does one job a second, and each may wait 6.5 s.
        self.assertGreater(accepted, 6)
        self.assertLess(accepted, 30)

    def test_work_that_was_done_does_not_count(self):
        """Guards against counting running tasks in full until they end."""
        leader = Leader()
        leader.add_workers("w1")
        leader.scheduler.fleet_millicores = 8000
        leader.submit("1" * 16, SPEC)
        leader.place()
        leader.submit("2" * 16, SPEC)
        before = self.loads(leader)["p/0"].base_core_ms
        leader.now_s += 0.5
        self.assertAlmostEqual(8000, before, delta=100)
        self.assertAlmostEqual(
            4000, self.loads(leader)["p/0"].base_core_ms, delta=100
        )

    def test_started_jobs_of_less_urgent_queues_do_not_count(self):
        """Guards against refusing urgent jobs that would go first."""
        leader = Leader()
        leader.add_workers("w1")
        leader.scheduler.fleet_millicores = 8000
        urgent = attrs.evolve(QUEUE, name="u", priority=-1)
        leader.scheduler.configuration = attrs.evolve(
            leader.scheduler.configuration, queues=(QUEUE, urgent)
        )
        leader.submit("1" * 16, job_spec(step(20)))
        leader.place()
        leader.submit("2" * 16, SPEC)
        loads = self.loads(leader)
        self.assertEqual(0, loads["p/-1"].base_core_ms)
        self.assertAlmostEqual(20_000, loads["p/0"].base_core_ms, delta=100)

    def test_unknown_fleet_means_no_load(self):
        """Guards against refusals before a new leader has listed the VMs."""
        leader = Leader()
        leader.submit("1" * 16, SPEC)
        self.assertEqual({}, self.loads(leader))

    def test_queues_of_one_rank_share_a_backlog(self):
        """Guards against a record that grows with thousands of queues."""
        leader = Leader()
        leader.scheduler.fleet_millicores = 8000
        leader.scheduler.configuration = Configuration(
            version=1,
            revision=1,
            queues=tuple(
                attrs.evolve(QUEUE, name=f"q{number}", priority=number % 2)
                for number in range(3000)
            ),
        )
        for job_id in job_ids(50):
            leader.submit(job_id, SPEC)
        loads = self.loads(leader)
        self.assertEqual({"p/0", "p/1"}, set(loads))
        self.assertEqual(0, loads["p/0"].base_core_ms)
        self.assertEqual(50 * 8000, loads["p/1"].base_core_ms)

    def test_rows_cover_all_waiting_work(self):
        """Guards against work that is left out of the rows, or many rows."""
        leader = Leader()
        leader.scheduler.fleet_millicores = 8000
        for number, job_id in enumerate(job_ids(100)):
            leader.submit(job_id, job_spec(step(1 + number % 13)))
        sizes = self.loads(leader)["p/0"].sizes
        total = sum((1 + number % 13) * 1000 for number in range(100))
        self.assertLessEqual(len(sizes), 9)
        self.assertEqual(total, sizes[-1].ahead_core_ms)
        rows = [(s.work_core_ms, s.ahead_core_ms) for s in sizes]
        self.assertEqual(sorted(rows), rows)


@attrs.frozen(kw_only=True)
class FormerLoadRecord:
    """Load record of the previous version."""

    written_unix_ms: int
    waiting: dict[str, int] = attrs.field(factory=dict)
    start_delay_ms: dict[str, int] = attrs.field(factory=dict)


class StoreWithLoad:
    """A store with a load record.

    :param known: jobs that it has, None if it does not answer
    """

    def __init__(self, value, known=()):
        self.value = value
        self.known = known

    def get(self, key, allow_stale=False):
        if key == LOAD_KEY:
            return Item(key=key, value=self.value, revision=1)
        if self.known is None:
            return STORE_UNAVAILABLE
        if key.removeprefix(JOBS_PREFIX) in self.known:
            return Item(key=key, value=b"", revision=1)
        return STORE_KEY_MISSING


class TestNode(testtools.TestCase):
    """Guards against refusals that the record does not justify."""

    LOAD = Backlog(own_cores=1, base_core_ms=LONGEST_WAIT_MS * 3)

    def refuse(self, value, known=(), age_ms=0, count=1):
        """Return the answers of a node to submissions of one job."""
        clock = ManualClock()
        wall_ms = round(clock.wall_s() * 1000) - age_ms
        if not isinstance(value, bytes):
            value = encode(attrs.evolve(value, written_unix_ms=wall_ms))
        intake = JobIntake(
            StoreWithLoad(value, known),
            clock,
            "c",
            lambda event, **fields: None,
        )
        self.metrics = Metrics()
        api = JobApi(
            types.SimpleNamespace(),
            intake,
            clock,
            self.metrics,
            lambda event, **fields: None,
            None,
            BacklogAdmission(),
            BacklogRetry(),
        )
        request = CallerRequest(
            configuration=Configuration(version=1, revision=1),
            queue=QUEUE,
            host="h",
            path="/q/",
            key=None,
            organisation=None,
            wait_ms=3000,
        )
        return [
            api._refuse_if_too_late(request, "0" * 16, SPEC)
            for _ in range(count)
        ]

    def test_useless_job_is_refused_with_a_time(self):
        """Guards against callers that learn too late that there is no room."""
        (refusal,) = self.refuse(load_record(self.LOAD))
        self.assertTrue(refusal.is_a(OVERLOADED))
        self.assertGreaterEqual(refusal.retry_after_s, 1)

    def test_accepted_job_is_not_refused_on_a_repeat(self):
        """Guards against a refusal of a job that will run."""
        record = load_record(self.LOAD)
        self.assertEqual([None], self.refuse(record, known=("0" * 16,)))

    def test_job_is_not_refused_if_the_store_does_not_tell(self):
        """Guards against a refusal of a job that may have been accepted."""
        record = load_record(self.LOAD)
        self.assertEqual([None], self.refuse(record, known=None))

    def test_record_that_cannot_be_used_means_no_backlog(self):
        """Guards against refusals by an old or malformed record."""
        record = load_record(self.LOAD)
        self.assertEqual([None], self.refuse(b"malformed"))
        self.assertEqual([None], self.refuse(record, age_ms=2100))
        empty = LoadRecord(written_unix_ms=0, backlogs={})
        self.assertEqual([None], self.refuse(empty))

    def test_refusals_are_remembered(self):
        """Guards against callers that are treated as new on each attempt."""
        refusals = self.refuse(load_record(self.LOAD), count=3)
        times = [refusal.retry_after_s for refusal in refusals]
        self.assertEqual(sorted(times, reverse=True), times)

    def test_record_is_readable_by_both_versions(self):
        """Guards against nodes that refuse the record during an upgrade."""
        data = encode(load_record(self.LOAD))
        self.assertIsInstance(decode(data, FormerLoadRecord), FormerLoadRecord)
        former = FormerLoadRecord(
            written_unix_ms=1, start_delay_ms={"q": 20_000}
        )
        record = decode(encode(former), LoadRecord)
        self.assertIsNone(record.backlogs)
        for admission in (BacklogAdmission(), FleetAdmission()):
            decision = admission.decide(QUEUE, "0" * 16, SPEC, record, 1.0)
            self.assertFalse(decision.is_accepted)

    def test_memory_of_refused_jobs_is_bounded(self):
        """Guards against memory that grows with jobs that never return."""
        refused = RefusedJobs()
        with ThreadPoolExecutor(4) as threads:
            list(
                threads.map(
                    lambda n: refused.record(f"{n:016x}", n / 1000),
                    range(2 * MAX_JOBS),
                )
            )
        self.assertLessEqual(len(refused._counts), MAX_JOBS)
        refused.record("a" * 16, 100.0)
        self.assertEqual(1, refused.count("a" * 16, 120.0))
        self.assertEqual(0, refused.count("a" * 16, 140.0))


class TestEmptyJob(testtools.TestCase):
    """Guards against an error on a job without steps."""

    def test_job_without_steps_is_accepted(self):
        """Guards against a division by zero in the decision."""
        spec = JobSpec(payload="", steps=())
        self.assertTrue(is_accepted(Backlog(), spec=spec))
