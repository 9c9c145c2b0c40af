"""Tests of which workers the advice service is asked for, and when."""

from unittest import mock

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.scheduling.advice_requester import AdviceRequester
from rosemarynotch._internal.scheduling.fleet_ports import AdviceAnswer
from rosemarynotch._internal.scheduling.fleet_ports import Ticket
from rosemarynotch._internal.scheduling.model import AdvicePolicy
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.utils.metrics import Metrics
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import step
from tests.unit.test_advice import AdviceCase
from tests.unit.test_advice import VALIDITY_S


class ChoiceTest(AdviceCase):
    """Guards against workers that may run a step and are never asked for.

    Each request named the 30 workers with the most free processors. Of 40
    idle ones, those that were listed last were never named, and jobs that only
    they may run never started.
    """

    def setUp(self):
        super().setUp()
        self.names = [f"w{number:02}" for number in range(40)]

    def start_all(self, passes=10):
        """Plan some passes, and answer what is asked; return the starts."""
        commands = []
        for _ in range(passes):
            for command in self.plan():
                self.confirm(command)
                commands.append(command)
            self.answer_requests()
            self.advance(0.05)
        return commands

    def test_allowed_workers_that_are_listed_last(self):
        self.add_workers(*self.names, allowed=self.names[-8:])
        self.leader.submit("j1", job_spec(step(2)))
        self.assertEqual(2, len(self.start_all()))
        asked = [name for call in self.calls for name in call]
        self.assertEqual(40, len(set(asked)))
        # No worker is asked for twice.
        self.assertEqual(40, len(asked))

    def test_allowed_worker_without_room(self):
        """Guards against a step that waits for a worker that is full."""
        self.add_workers(*self.names, allowed=["w00", "w39"])
        self.leader.submit("j1", job_spec(step(8, long_running=True)))
        self.assertEqual(8, len(self.start_all()))
        self.leader.submit("j2", job_spec(step(8, long_running=True)))
        self.assertEqual(8, len(self.start_all()))
        workers = [self.scheduler.workers[n] for n in ("w00", "w39")]
        self.assertEqual([8, 8], [len(worker.runs) for worker in workers])

    def test_more_tasks_than_the_first_workers_hold(self):
        """Guards against a wide step that uses a part of its workers."""
        self.add_workers(*self.names, allowed=["w03", "w35", "w36"])
        self.leader.submit("j1", job_spec(step(40, long_running=True)))
        self.assertEqual(24, len(self.start_all()))

    def test_gang_over_workers_of_two_requests(self):
        """Guards against a gang that never has all of its tickets."""
        self.add_workers(*self.names, allowed=self.names)
        gang = step(35, cpu=8000, is_gang=True)
        self.leader.submit("j1", job_spec(gang))
        self.assertEqual(35, len(self.start_all()))

    def test_limit_per_worker(self):
        """Guards against tickets that suffice only without the limit."""
        self.add_workers(*self.names, allowed=self.names[-3:])
        spec = job_spec(step(3, max_per_worker=1, long_running=True))
        self.leader.submit("j1", spec)
        self.assertEqual(3, len(self.start_all()))

    def test_renewal_names_allowed_workers_only(self):
        """Guards against calls that are longer than they need to be."""
        self.add_workers(*self.names, allowed=["w38", "w39"])
        self.leader.submit("j1", job_spec(step(1)))
        (command,) = self.start_all(4)
        self.calls.clear()
        self.leader.end(command.run, EndKind.FAILED)
        self.advance(VALIDITY_S)
        self.assertEqual([], self.plan())
        self.answer_requests()
        self.assertEqual(1, len(self.calls))
        self.assertLessEqual(set(self.calls[0]), {"w38", "w39"})

    def test_worker_that_the_service_did_not_know(self):
        """Guards against an early answer that holds for ever."""
        self.add_workers("w00", "w01")
        self.leader.submit("j1", job_spec(step(1)))
        self.assertEqual([], self.start_all())
        calls = len(self.calls)
        self.allowed.add("w01")
        for _ in range(12):
            self.advance(0.5)
            if self.start_all(1):
                break
        self.assertEqual(1, len(self.scheduler.workers["w01"].runs))
        self.assertLessEqual(len(self.calls), calls + 2)

    def test_cap_that_is_used_up(self):
        """Guards against calls for tasks that cannot start."""
        self.leader.set_cap(Resources(cpu_millicores=1000))
        self.add_workers("w00", "w01", allowed=["w00", "w01"])
        self.leader.submit("j1", job_spec(step(1, long_running=True)))
        self.assertEqual(1, len(self.start_all()))
        calls = len(self.calls)
        self.leader.submit("j2", job_spec(step(1)))
        self.start_all()
        self.assertEqual(calls, len(self.calls))

    def test_request_that_fails(self):
        """Guards against a call in each pass while the service is away."""
        self.add_workers("w00", allowed=["w00"])
        self.leader.submit("j1", job_spec(step(1)))
        failed = 0
        for _ in range(100):
            self.assertEqual([], self.plan())
            request = self.advice.next_request(self.leader.now_s)
            if request is not None:
                self.advice.drop_request(request, self.leader.now_s)
                failed += 1
            self.advance(0.01)
        self.assertLess(failed, 6)
        self.assertEqual(1, len(self.start_all()))

    def test_step_that_no_longer_waits(self):
        """Guards against calls that delay those of other steps."""
        self.add_workers("w00", allowed=["w00"])
        self.leader.submit("j1", job_spec(step(1)))
        self.plan()
        self.scheduler.cancel("j1")
        self.advance(3.0)
        self.assertIsNone(self.advice.next_request(self.leader.now_s))


class SlowServiceTest(AdviceCase):
    """Guards against tickets that have expired when they are received."""

    # A call for 30 workers takes five times as long as its tickets last.
    policy = AdvicePolicy(decision_ms=200, per_worker_ms=500, validity_ms=3000)

    def test_size_of_a_request(self):
        """Guards against calls that take longer than tickets are valid."""
        names = [f"w{number:02}" for number in range(10)]
        self.add_workers(*names, allowed=["w09"])
        self.leader.submit("j1", job_spec(step(1)))
        for _ in range(10):
            self.assertEqual([], self.plan())
            self.answer_requests()
            self.advance(0.05)
            if len(sum(self.calls, [])) == 10:
                break
        self.assertEqual(2, max(map(len, self.calls)))
        self.assertEqual(1, len(self.plan()))

    def test_call_as_long_as_the_validity(self):
        """Guards against a job that never starts with a slow service."""
        self.add_workers("w00", allowed=["w00"])
        self.leader.submit("j1", job_spec(step(1)))
        self.plan()
        request = self.advice.next_request(self.leader.now_s)
        sent_s = self.leader.now_s
        self.advance(4.0)
        ticket = Ticket(worker_id="w00", value="w00/1")
        answer = AdviceAnswer(tickets=(ticket,))
        self.advice.record_answer(request, answer, sent_s, self.leader.now_s)
        self.assertEqual(1, len(self.plan()))


class RequesterTest(AdviceCase):
    """Guards against a call that is given up before it can be answered."""

    def setUp(self):
        super().setUp()
        self.waits = []
        self.answers = []
        self.rounds = 0

    def run_requester(self):
        """Send the requests that wait; return for how long each is awaited."""
        self.waits.clear()
        self.rounds = 3
        AdviceRequester(
            self.advice,
            mock.Mock(advise=self.advise),
            mock.Mock(monotonic_s=lambda: self.leader.now_s),
            self.is_running,
            lambda event: None,
            lambda event, **fields: None,
            Metrics(),
        ).run()
        return self.waits

    def is_running(self):
        self.rounds -= 1
        return self.rounds >= 0

    def advise(self, job_id, occurrence, step, workers, wait_s):
        self.waits.append(round(wait_s, 3))
        return self.answers.pop(0)

    def test_time_of_a_call(self):
        """Guards against one time-out for all queues and sizes."""
        self.add_workers("w1", "w2")
        self.leader.submit("j1", job_spec(step(1)))
        self.plan()
        self.answers = [AdviceAnswer(tickets=())]
        self.assertEqual([0.07], self.run_requester())

    def test_call_behind_one_that_was_given_up(self):
        """Guards against a call that waits for its turn at the service."""
        self.add_workers("w1", "w2")
        for job_id in ("j1", "j2", "j3"):
            self.leader.submit(job_id, job_spec(step(1)))
        self.plan()
        lost = failures.PLATFORM_UNAVAILABLE.with_ran_unknown()
        refused = failures.PLATFORM_UNAVAILABLE
        self.answers = [lost, refused, AdviceAnswer(tickets=())]
        # The clock stands still meanwhile.
        self.assertEqual([0.07, 0.14, 0.14], self.run_requester())
