"""Tests of the tickets that starts carry on queues with an advice service."""

import attrs
import testtools

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.scheduling.advice import NOT_ALLOWED_S
from rosemarynotch._internal.scheduling.fleet_ports import AdviceAnswer
from rosemarynotch._internal.scheduling.fleet_ports import Ticket
from rosemarynotch._internal.scheduling.model import AdvicePolicy
from rosemarynotch._internal.scheduling.planner import StartCommand
from rosemarynotch._internal.scheduling.ports import EndKind
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import QUEUE
from tests.lib.scheduling import step

VALIDITY_S = 3.0
POLICY = AdvicePolicy(
    decision_ms=50, per_worker_ms=10, validity_ms=round(VALIDITY_S * 1000)
)
REFUSED = failures.RUN_NO_TICKET


class AdviceCase(testtools.TestCase):
    """Base of tests with a service that allows some workers.

    It issues a ticket for the life that a worker has when it is asked.
    """

    policy = POLICY

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.scheduler = self.leader.scheduler
        self.scheduler.configuration = attrs.evolve(
            self.scheduler.configuration,
            queues=(attrs.evolve(QUEUE, advice=self.policy),),
        )
        self.advice = self.leader.advice
        self.allowed = set()
        self.lives = {}
        self.calls = []

    def add_workers(self, *names, allowed=()):
        self.leader.add_workers(*names)
        self.allowed |= set(allowed)
        self.lives |= dict.fromkeys(names, 1)

    def restart(self, name):
        """Restart a worker under its identifier; its runs are lost."""
        self.lives[name] += 1
        worker = self.scheduler.workers[name]
        worker.entry = attrs.evolve(
            worker.entry, started_unix_ms=self.lives[name]
        )
        self.leader.now_s += 1.0
        self.report(name)

    def report(self, name):
        self.leader.report(name, started_unix_ms=self.lives[name])

    def advance(self, seconds):
        """Advance the clock and apply reports of all workers."""
        self.leader.now_s += seconds
        for name, worker in self.scheduler.workers.items():
            running = [
                (run.task.task_id, run.number, 100)
                for run in worker.runs.values()
            ]
            self.leader.report(name, running, started_unix_ms=self.lives[name])

    def answer_requests(self, validity_ms=None):
        """Answer the requests that wait; return the names asked for."""
        asked = []
        while request := self.advice.next_request(self.leader.now_s):
            names = [*request.workers]
            self.calls.append(names)
            asked += names
            sent_s = self.leader.now_s
            self.leader.now_s += 0.1
            tickets = tuple(
                Ticket(worker_id=name, value=f"{name}/{self.lives[name]}")
                for name in names
                if name in self.allowed
            )
            answer = AdviceAnswer(tickets=tickets, validity_ms=validity_ms)
            self.advice.record_answer(
                request, answer, sent_s, self.leader.now_s
            )
        return asked

    def plan(self):
        """Run a planning pass; return the commands."""
        now_s = self.leader.now_s
        return self.leader.planner.place(now_s, now_s * 1000)

    def confirm(self, command):
        """Let a worker accept a start."""
        self.scheduler.on_start_answer(
            command.run, round(self.leader.now_s * 1000), self.leader.now_s
        )

    def refuse(self, command, why=REFUSED):
        """Let a worker refuse a start."""
        now_s = self.leader.now_s
        if why is REFUSED:
            self.advice.reject(command.run, command.ticket, now_s)
        self.scheduler.on_start_answer(command.run, why, now_s)


class TicketTest(AdviceCase):
    """Guards against starts that carry a ticket which is not valid.

    After a rack had crashed and come back, all starts of a job were refused
    for tickets of the life before, and answers about other workers kept these
    in use.
    """

    def setUp(self):
        super().setUp()
        self.add_workers("w1", "w2", "w3", allowed=["w1"])
        self.job = self.leader.submit("j1", job_spec(step(long_running=True)))
        self.assertEqual([], self.plan())
        self.answer_requests()
        (self.command,) = self.plan()

    def test_ticket_of_an_earlier_life(self):
        """Guards against a ticket that is used after its worker restarted."""
        self.confirm(self.command)
        self.restart("w1")
        self.assertEqual([], self.plan())
        self.assertIn("w1", self.answer_requests())
        (command,) = self.plan()
        self.assertEqual("w1/2", command.ticket)

    def test_answer_about_other_workers(self):
        """Guards against a ticket that an answer without it makes valid."""
        self.confirm(self.command)
        self.scheduler.workers["w1"].pause_until(self.leader.now_s + 100)
        self.advance(NOT_ALLOWED_S + 1)
        self.leader.end(self.command.run, kind=EndKind.FAILED)
        self.assertEqual([], self.plan())
        self.assertEqual({"w2", "w3"}, set(self.answer_requests()))
        self.scheduler.workers["w1"].quarantined_until_s = 0.0
        self.assertEqual([], self.plan())

    def test_ticket_that_is_refused(self):
        """Guards against the same ticket in one start after the other."""
        self.refuse(self.command)
        self.assertEqual([], self.plan())
        self.advance(0.5)
        self.assertEqual([], self.plan())
        self.answer_requests()
        (command,) = self.plan()
        self.assertEqual("w1", command.worker.worker_id)

    def test_start_that_is_refused_for_another_reason(self):
        """Guards against calls for a ticket that is valid."""
        for why in (
            failures.RUN_NO_ROOM,
            failures.WORKER_BUSY,
            failures.RUN_SUPERSEDED,
        ):
            self.refuse(self.command, why)
            self.advance(0.5)
            for run in list(self.scheduler.workers["w1"].runs.values()):
                self.scheduler.workers["w1"].drop_run(run)
            (self.command,) = self.plan()
            self.assertEqual("w1/1", self.command.ticket)
        self.assertEqual(1, len(self.calls))

    def test_refused_ticket_pauses_no_worker(self):
        """Guards against steps that wait for a ticket of another step."""
        self.refuse(self.command)
        worker = self.scheduler.workers["w1"]
        self.assertTrue(worker.accepts_work(self.leader.now_s))

    def test_tickets_that_are_refused_again_and_again(self):
        """Guards against a run number for each pass, and against no start.

        The service and a worker may disagree for a time.
        """
        self.refuse(self.command)
        starts = 1
        end_s = self.leader.now_s + 30
        while self.leader.now_s < end_s:
            self.answer_requests()
            for command in self.plan():
                self.refuse(command)
                starts += 1
            self.advance(0.05)
        self.assertGreater(starts, 3)
        self.assertLess(starts, 15)

    def test_validity_in_the_answer(self):
        """Guards against tickets that are used longer than they are valid."""
        self.refuse(self.command)
        self.advance(0.5)
        self.assertEqual([], self.plan())
        self.answer_requests(validity_ms=600)
        self.advance(0.5)
        self.assertEqual([], self.plan())

    def test_repeated_order(self):
        """Guards against a repetition with a ticket that has expired."""
        lost = failures.WORKER_UNREACHABLE.with_ran_unknown()
        self.scheduler.on_start_answer(
            self.command.run, lost, self.leader.now_s
        )
        (command,) = self.reconcile()
        self.assertEqual("w1/1", command.ticket)
        self.scheduler.on_start_answer(
            self.command.run, lost, self.leader.now_s
        )
        self.restart("w1")
        (command,) = self.reconcile()
        # The first order may have been carried out, which only it can tell.
        self.assertEqual("w1/1", command.ticket)

    def reconcile(self):
        commands = self.leader.planner.reconcile_runs(self.leader.now_s)
        self.assertIsInstance(commands[0], StartCommand)
        return commands
