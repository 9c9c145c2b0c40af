"""Stateful tests of the scheduler against a model of workers and store.

The model carries out orders late or twice, loses answers, lets orders wait in
the leader's queue, restarts workers under their identifiers, and replaces the
leader at any time. A list may show a restart before a report does. As in the
channel to a worker, what holds for one incarnation does not reach another:
acknowledgements, leases and starts. A report lists only the first ends that
are not acknowledged.

No task may have two runs at the same time or start after a run has ended as
done, if that end is acknowledged then or later, and no worker may exceed its
capacity.
"""

import attrs
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.scheduling.planner import StartCommand
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunStatus
from rosemarynotch._internal.scheduling.ports import WorkerReport
from tests.lib.model_workers import MAX_LISTED_ENDS
from tests.lib.model_workers import ModelWorker
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import LEASE_S
from tests.lib.scheduling import step

WORKERS = ("w1", "w2", "w3")
UNKNOWN = failures.WORKER_UNREACHABLE.with_ran_unknown()
DELIVERIES = st.sampled_from(("answered", "lost", "late", "never"))


class PlatformMachine(stateful.RuleBasedStateMachine):
    """Replaces leaders; jobs and progress persist in the store."""

    def __init__(self):
        super().__init__()
        self.models = {name: ModelWorker() for name in WORKERS}
        self.jobs: dict[str, int] = {}
        self.progress: dict = {}
        self.late: list = []
        self.queued: list[StartCommand] = []
        self.done: set = set()
        self.revision = 1
        self.term = 0
        self.now_s = 1000.0
        self.lead()

    @property
    def now_ms(self):
        return self.now_s * 1000

    @stateful.rule()
    def lead(self):
        """Replace the leader by a new one that reads the store."""
        self.term += 1
        self.revision += 1
        # The queue of the former leader ends with it.
        self.queued.clear()
        self.leader = Leader(self.term, self.revision)
        self.leader.now_s = self.now_s
        entries = [
            attrs.evolve(self.leader.entry(name), started_unix_ms=0)
            for name in WORKERS
        ]
        scheduler = self.leader.scheduler
        scheduler.set_workers(entries, self.now_s, are_inherited=True)
        for worker in scheduler.workers.values():
            worker.is_enrolled = True
        for model in self.models.values():
            model.is_known = False
        self.list_workers()
        for job_id, revision in self.jobs.items():
            self.leader.submit(
                job_id, self.spec(), revision, self.progress.get(job_id)
            )

    @stateful.initialize()
    def first_job(self):
        """Start with a job and with workers that have reported."""
        self.submit()
        self.report_all()

    @stateful.rule()
    def report_all(self):
        """Receive a report of every worker."""
        self.report_others("")

    def report_others(self, silent):
        """Receive a report of every worker but one."""
        for name in WORKERS:
            if name != silent:
                self.report(name, True)

    @staticmethod
    def spec():
        return job_spec(step(3), step(2, after=(0,)))

    @stateful.rule()
    def submit(self):
        """Add a job to the store and to the leader."""
        self.revision += 1
        job_id = f"j{len(self.jobs)}"
        self.jobs[job_id] = self.revision
        self.leader.now_s = self.now_s
        self.leader.submit(job_id, self.spec(), self.revision)

    @stateful.rule()
    def list_workers(self):
        """Read the list of workers, which is newer than their reports."""
        self.leader.scheduler.set_workers(
            [
                attrs.evolve(
                    self.leader.entry(name),
                    started_unix_ms=self.models[name].started_unix_ms,
                )
                for name in WORKERS
            ],
            self.now_s,
        )

    @stateful.rule(name=st.sampled_from(WORKERS))
    def restart(self, name):
        """Restart a worker; its runs and ends are lost."""
        self.models[name].restart(self.now_ms)

    @stateful.rule(name=st.sampled_from(WORKERS), data=st.data())
    def restart_in_doubt(self, name, data):
        """List a restart while the new incarnation has a run."""
        self.restart(name)
        self.report(name, True)
        self.plan(data)
        self.restart(name)
        self.list_workers()
        self.plan(data)

    @stateful.rule(name=st.sampled_from(WORKERS), data=st.data())
    def restart_between_ends(self, name, data):
        """Restart a worker between two ends that get the same number."""
        self.note_end(name, data)
        self.restart(name)
        self.report(name, True)
        self.start_all()
        self.note_end(name, data)
        self.start_all()

    def note_end(self, name, data):
        """End a run; apply, write and acknowledge its end."""
        self.work(name, data)
        for _ in range(2):
            self.report(name, True)
            self.write()

    def start_all(self):
        """Run a pass of the leader whose orders are answered."""
        for command in self.plan_starts():
            self.leave_queue(command, "answered")

    @stateful.rule(name=st.sampled_from(WORKERS), data=st.data())
    def end_in_doubt(self, name, data):
        """Hear of the end of a run after another run of its task is queued."""
        self.work(name, data)
        self.wait(7.0)
        self.report_others(name)
        self.queue_starts()
        self.report(name, True)
        self.write()
        self.report(name, True)

    @stateful.rule(name=st.sampled_from(WORKERS))
    def hide_ends(self, name):
        """End all runs of a worker while the store is silent."""
        self.report(name, True)
        self.start_all()
        model = self.models[name]
        for task in sorted(model.runs, key=str):
            model.end(task, EndKind.DONE)
        for _ in range(2):
            self.wait(0.1)
            self.report(name, True)
            self.start_all()
        for _ in range(3):
            self.write()
            self.report(name, True)

    @stateful.rule(name=st.sampled_from(WORKERS), data=st.data())
    def lose_leader_after_end(self, name, data):
        """Replace the leader between the report of an end and its write."""
        self.start_all()
        self.work(name, data)
        for _ in range(2):
            self.report(name, True)
        self.lead()
        self.report_all()
        self.start_all()

    @stateful.rule(name=st.sampled_from(WORKERS))
    def lose_contact(self, name):
        """Lose contact to a worker until its leases are over."""
        self.report_all()
        self.start_all()
        for _ in range(7):
            self.wait(1.0)
            self.report_others(name)
            self.start_all()
            self.no_task_runs_twice()

    @stateful.rule(name=st.sampled_from(WORKERS))
    def hide_ends_from_next_leader(self, name):
        """End all runs of a worker before the leader is replaced."""
        self.start_all()
        model = self.models[name]
        for task in sorted(model.runs, key=str):
            model.end(task, EndKind.DONE)
        self.lead()
        self.report_all()
        self.start_all()
        for _ in range(3):
            self.write()
            self.report(name, True)

    def queue_starts(self):
        """Run a pass of the leader whose orders wait in its queue."""
        self.queued += self.plan_starts()

    def plan_starts(self):
        """Run a pass of the leader and return the starts."""
        scheduler = self.leader.scheduler
        scheduler.expire_workers(self.now_s)
        commands = self.leader.planner.reconcile_runs(self.now_s)
        commands += self.leader.planner.place(self.now_s, self.now_ms)
        return [
            command
            for command in commands
            if isinstance(command, StartCommand)
        ]

    @stateful.rule(data=st.data())
    def plan(self, data):
        """Run a pass of the leader; orders may be lost or delayed."""
        for command in self.plan_starts():
            if data.draw(st.booleans()):
                self.queued.append(command)
            else:
                self.leave_queue(command, data.draw(DELIVERIES))

    @stateful.rule(data=st.data())
    def send_queued(self, data):
        """Send an order that has waited, unless it has become needless."""
        if not self.queued:
            return
        index = data.draw(st.integers(0, len(self.queued) - 1))
        command = self.queued.pop(index)
        self.leave_queue(command, data.draw(DELIVERIES))

    def leave_queue(self, command: StartCommand, delivery: str):
        """Send an order unless it has become needless."""
        if command.is_current(self.now_s):
            command.run.is_sent = True
            self.send(command, delivery)
        else:
            self.leader.scheduler.on_order_withheld(command.run)

    def send(self, command: StartCommand, delivery: str):
        run, worker = command.run, command.worker
        if not run.lease_until_ms:
            run.lease_until_ms = worker.clock.lease_end_ms(self.now_s, LEASE_S)
            worker.lease_until_ms = max(
                worker.lease_until_ms, run.lease_until_ms
            )
        order = (
            self.term,
            worker.worker_id,
            worker.started_unix_ms,
            run.lease_until_ms,
            run,
        )
        model = self.models[worker.worker_id]
        answer = UNKNOWN
        if worker.started_unix_ms != model.started_unix_ms:
            answer = failures.WORKER_UNREACHABLE
        elif delivery in ("answered", "lost"):
            answer = self.carry_out(order)
        elif delivery == "late":
            self.late.append(order)
        if delivery != "answered":
            answer = UNKNOWN
        self.leader.scheduler.on_start_answer(run, answer, self.now_s)

    def carry_out(self, order):
        fence, name, started_unix_ms, until_ms, run = order
        if started_unix_ms != self.models[name].started_unix_ms:
            return UNKNOWN
        task = run.task.task_id
        before = task in self.models[name].runs
        answer = self.models[name].start(
            fence, task, run.number, until_ms, self.now_ms
        )
        if not before and task in self.models[name].runs:
            assert task not in self.done, f"{task} started after its end"
            for model in self.models.values():
                model.note_start(task)
        return answer

    @stateful.rule(data=st.data())
    def late_order(self, data):
        """Carry out an order long after it was sent."""
        if self.late:
            index = data.draw(st.integers(0, len(self.late) - 1))
            self.carry_out(self.late.pop(index))

    @stateful.rule(name=st.sampled_from(WORKERS), data=st.data())
    def work(self, name, data):
        """Complete a run on a worker."""
        model = self.models[name]
        model.expire(self.now_ms)
        if model.runs:
            task = data.draw(st.sampled_from(sorted(model.runs, key=str)))
            model.end(task, EndKind.DONE)

    @stateful.rule(name=st.sampled_from(WORKERS), answered=st.booleans())
    def report(self, name, answered):
        """Request a report; this extends the lease even if it is lost."""
        scheduler = self.leader.scheduler
        worker = scheduler.workers.get(name)
        if worker is None:
            return
        model = self.models[name]
        model.expire(self.now_ms)
        model.fence = max(model.fence, self.term)
        acked = 0
        if model.is_known:
            until_ms = worker.clock.lease_end_ms(self.now_s, LEASE_S)
            worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
            model.lease_until_ms = max(model.lease_until_ms, until_ms)
            acked = worker.acked_sequence
        for end in model.acknowledge(acked):
            if end.kind is EndKind.DONE:
                self.done.add(end.task)
        if answered:
            model.is_known = True
            self.answer(worker, model)

    def answer(self, worker, model):
        self.leader.scheduler.on_report(
            worker,
            WorkerReport(
                clock_ms=round(model.clock_ms(self.now_ms)),
                started_unix_ms=model.started_unix_ms,
                running=tuple(
                    RunStatus(task=task, run=number, percent=50)
                    for task, number in model.runs.items()
                ),
                ends=model.listed_ends,
                is_cut=len(model.listed_ends) == MAX_LISTED_ENDS,
            ),
            self.now_s,
            self.now_s,
        )

    @stateful.rule()
    def write(self):
        """Write the progress of all changed jobs to the store."""
        scheduler = self.leader.scheduler
        for job in list(scheduler.dirty.values()):
            self.progress[job.job_id] = job.progress()
            scheduler.mark_written(job, job.change, 1)
        scheduler.advance_acks()

    @stateful.rule(seconds=st.sampled_from((0.1, 0.4, 1.0, 7.0)))
    def wait(self, seconds):
        """Advance the time of the leader and of all workers."""
        self.now_s += seconds
        self.leader.now_s = self.now_s

    @stateful.invariant()
    def no_task_runs_twice(self):
        running: set = set()
        for model in self.models.values():
            model.expire(self.now_ms)
            for task in model.runs:
                assert task not in running, f"{task} runs twice"
                running.add(task)

    @stateful.invariant()
    def runs_are_registered_with_their_tasks(self):
        """Every run registered with a worker is registered with its task."""
        for worker in self.leader.scheduler.workers.values():
            for run in worker.runs.values():
                assert run in run.task.runs


TestPlatform = PlatformMachine.TestCase
TestPlatform.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
