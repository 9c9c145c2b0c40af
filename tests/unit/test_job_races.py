"""Stateful test of two job controllers on one store.

The ledger of the stand-in for the platform shows which tasks were started.
"""

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies as st

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.models.jobs import job_id_of
from rosemarynotch._internal.models.jobs import JobState
from rosemarynotch._internal.models.records import VmState
from tests.lib.job_fakes import StandinTasks
from tests.lib.stores import Fault
from tests.lib.stores import MemoryStore
from tests.unit.test_jobs import JobsTestCase

WORKERS = ("w0", "w1", "w2", "w3")
TEAMS = ("ann", "bob")
LIMIT = 3
LONGEST_RUN_S = 12


class PausedTasks(StandinTasks):
    """Runs a callback between the decision to start a task and the call."""

    before_start = None

    def start(self, task, lease_ms):
        """Start a task after running the callback."""
        if self.before_start is not None:
            run, self.before_start = self.before_start, None
            run()
        return super().start(task, lease_ms)


class Fixture(JobsTestCase):
    """The fixture of the job tests, not collected as a test."""

    __test__ = False

    def runTest(self):
        """Do nothing."""


class JobRaces(RuleBasedStateMachine):
    """Runs submissions, faults and two leaders in any order."""

    def __init__(self):
        super().__init__()
        self.case = Fixture()
        self.case.setUp()
        self.case.permits.limits = {team: LIMIT for team in TEAMS}
        self.jobs = {}
        self.accepted = set()
        self.may_run = set()
        self.stores = [MemoryStore(self.case.core) for _ in range(2)]
        self.tasks = [PausedTasks(self.case.task_core) for _ in range(2)]
        self.job_controllers = [
            self.case.new_job_controller(
                f"c{i}.1", self.stores[i], self.tasks[i]
            )
            for i in range(2)
        ]

    @initialize(
        jobs=st.lists(
            st.tuples(st.sampled_from(TEAMS), st.booleans()), min_size=6
        )
    )
    def begin(self, jobs):
        """Submit jobs first, so that every run has work."""
        for key, (team, idempotent) in enumerate(jobs):
            self.submit(
                team, key, LONGEST_RUN_S, False, idempotent, Fault.NONE, 1
            )

    @rule(
        team=st.sampled_from(TEAMS),
        key=st.integers(0, 12),
        run_s=st.integers(1, LONGEST_RUN_S),
        task_fails=st.booleans(),
        idempotent=st.booleans(),
        fault=st.sampled_from((Fault.NONE, Fault.DOWN, Fault.LOST_ANSWER)),
        calls=st.integers(1, 12),
    )
    def submit(self, team, key, run_s, task_fails, idempotent, fault, calls):
        """Submit a new or repeated job, possibly during a store fault."""
        self.case.store.fault = fault
        self.case.store.fault_calls = calls
        behaviour = {
            "run_ms": run_s * 1000,
            "fail": "bad" if task_fails else "",
        }
        job_id = job_id_of(team, str(key))
        first = self.jobs.setdefault(job_id, (team, idempotent, behaviour))
        result = self.case.submit(
            team=team,
            behaviour=first[2],
            idempotent=first[1],
            idempotency_key=str(key),
        )
        self.case.store.fault = Fault.NONE
        if not isinstance(result, Failure):
            self.accepted.add(job_id)
        if not isinstance(result, Failure) or result.ran is not Ran.NO:
            # A submission with an unknown outcome may run, even if a later
            # one with the same key is refused.
            self.may_run.add(job_id)

    @rule(key=st.integers(0, 12), team=st.sampled_from(TEAMS))
    def cancel(self, key, team):
        """Cancel a job, which may not exist."""
        self.case.intake.cancel(team, job_id_of(team, str(key)))

    @rule(index=st.integers(0, 1), count=st.integers(1, 4))
    def run_passes(self, index, count):
        """Run passes of one leader."""
        for _ in range(count):
            self.step(index)

    def step(self, index, leads=True):
        """Run one pass."""
        case = self.case
        self.job_controllers[index].step(leads, case.document, case.fleet)
        case.clock.advance(1.0)

    @rule(
        index=st.integers(0, 1),
        count=st.integers(1, 3),
        worker=st.sampled_from(["", *WORKERS]),
    )
    def race(self, index, count, worker):
        """Pause a leader before a start while another leads."""

        def interfere():
            if worker:
                self.case.vms.replace(worker)
                self.case.vms.vm(worker).state = "rebooting"
            for _ in range(count):
                self.step(1 - index)
            if worker:
                self.case.vms.vm(worker).state = "live"

        self.tasks[index].before_start = interfere
        self.step(index)
        self.tasks[index].before_start = None

    @rule(
        index=st.integers(0, 1),
        fault=st.sampled_from((Fault.DOWN, Fault.LOST_ANSWER)),
        calls=st.integers(1, 6),
        lost=st.integers(0, 3),
    )
    def break_calls(self, index, fault, calls, lost):
        """Make store calls fail and lose the answers to start calls."""
        self.stores[index].fault = fault
        self.stores[index].fault_calls = calls
        self.tasks[index].lose_answers = lost

    @rule(worker=st.sampled_from(WORKERS))
    def replace(self, worker):
        """Replace a worker, which loses its tasks."""
        self.case.vms.replace(worker)

    @rule(worker=st.sampled_from(WORKERS), failing=st.booleans())
    def fail_worker(self, worker, failing):
        """Make a worker fail all tasks, or end this fault."""
        self.case.task_core.set_failing(worker, "disk" if failing else "")

    @rule(worker=st.sampled_from(WORKERS), drains=st.booleans())
    def drain(self, worker, drains):
        """Drain a worker, or return it to service."""
        state = VmState.DRAINING if drains else VmState.SERVING
        self.case.set_state(worker, state)

    @invariant()
    def non_idempotent_jobs_start_once(self):
        """Check that each non-idempotent job was started at most once."""
        starts = {}
        for event in self.case.ledger.events("task-start"):
            job_id = event["task"].rpartition(".")[0]
            starts[job_id] = starts.get(job_id, 0) + 1
        for job_id, count in starts.items():
            assert count == 1 or self.jobs[job_id][1], "started twice"
            assert job_id in self.may_run, "ran although refused"

    @invariant()
    def teams_stay_under_their_limits(self):
        """Check that no team runs more tasks than its limit."""
        running = {}
        for task in self.case.task_core.listed():
            if task.state == "running":
                team = self.jobs[task.task_id.rpartition(".")[0]][0]
                running[team] = running.get(team, 0) + 1
        assert max(running.values(), default=0) <= LIMIT, running

    def teardown(self):
        """Check that accepted jobs end and all permits are released."""
        for index in (0, 1):
            self.stores[index].fault = Fault.NONE
            self.tasks[index].lose_answers = 0
        for worker in WORKERS:
            self.fail_worker(worker, False)
            self.drain(worker, False)
        self.case.clock.advance(120.0)
        # The other process releases its permits as jobs end.
        for _ in range(13 * LONGEST_RUN_S):
            self.step(0)
            self.step(1, leads=False)
        self.non_idempotent_jobs_start_once()
        for job_id in self.accepted:
            status = self.case.intake.status(self.jobs[job_id][0], job_id)
            assert status.state.is_final, status
            if status.state is JobState.DONE:
                assert not self.jobs[job_id][2]["fail"], status
        assert not any(self.case.permits.running.values())


JobRaces.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)
JobRacesTest = JobRaces.TestCase
