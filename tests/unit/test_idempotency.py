"""Tests of the deduplication by idempotency key (rule R5)."""

import threading
from types import SimpleNamespace

import testtools

from rosemarynotch._internal.admission import idempotency
from rosemarynotch._internal.admission.idempotency import IdempotencyTable
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.models.messages import Answer
from tests.lib.clocks import ManualClock
from tests.lib.entries import caller_request

ANSWER = Answer(status=201, headers=(("A", "b"),), body=b"done")


def _request(**fields):
    fields = {"idempotent": False, "method": "POST", **fields}
    return caller_request(idempotency_key="key", **fields)


class IdempotencyTableTest(testtools.TestCase):
    """Guards against requests that run twice or get a wrong answer."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.entries = [SimpleNamespace(name="entry-1", incarnation="a")]
        self.members = SimpleNamespace(
            revision=1, entries=lambda: self.entries
        )
        self.table = IdempotencyTable(self.members, self.clock)
        self.runs = 0
        self.outcome = ANSWER

    def execute(self):
        self.runs += 1
        return self.outcome

    def run_table(self, **fields):
        return self.table.run(_request(**fields), self.execute)

    def test_repeat_gets_the_first_answer_for_two_minutes(self):
        """Guards against a second run of a repeated request."""
        self.assertEqual([ANSWER] * 2, [self.run_table(), self.run_table()])
        self.assertEqual(1, self.runs)
        self.clock.advance(121)
        self.run_table()
        self.assertEqual(2, self.runs)

    def test_other_content_under_the_same_key_is_refused(self):
        """Guards against answering a request with the answer to another."""
        self.run_table()
        for change in ({"body": b"other"}, {"path": "/o"}, {"queue": "rush"}):
            result = self.run_table(**change)
            self.assertEqual("idempotency-key-reused", result.code)
        self.assertEqual(1, self.runs)

    def test_failure_is_stored_only_if_a_repeat_must_not_run(self):
        """Guards against repeating a request that may have run.

        Also guards against storing a failure although a repeat may run.
        """
        unknown = failures.TARGET_TIMEOUT
        # Outcome, whether the request is idempotent, and the number of runs
        # for two requests.
        for outcome, idempotent, runs in (
            (failures.QUEUE_FULL, False, 2),
            (unknown, False, 1),
            (unknown, True, 2),
        ):
            self.table = IdempotencyTable(self.members, self.clock)
            self.runs, self.outcome = 0, outcome
            for _ in range(2):
                self.assertEqual(
                    outcome, self.run_table(idempotent=idempotent)
                )
            self.assertEqual(runs, self.runs, outcome)

    def test_repeat_waits_for_the_run(self):
        """Guards against a second run while the first one is in progress."""
        started, finish = threading.Event(), threading.Event()

        def execute():
            started.set()
            finish.wait(10)
            return self.execute()

        results = []
        first = threading.Thread(
            target=lambda: results.append(self.table.run(_request(), execute))
        )
        first.start()
        started.wait(10)
        timed_out = self.run_table(remaining_ms=20)
        self.assertEqual("outcome-unknown", timed_out.code)
        finish.set()
        self.assertEqual(ANSWER, self.run_table())
        first.join()
        self.assertEqual(([ANSWER], 1), (results, self.runs))

    def test_marked_repeat_is_unknown_while_a_former_owner_may_have_run(self):
        """Guards against a second run after the owner of a key has changed.

        The former owner may have run the request, and its answer is not known
        here.
        """
        self.assertEqual("unknown", self.run_table(retry=True).ran)
        self.assertEqual(ANSWER, self.run_table(retry=True, idempotent=True))
        self.clock.advance(121)
        self.assertEqual(ANSWER, self.run_table(retry=True))
        self.members.revision = 2
        self.clock.advance(121)
        self.assertEqual(ANSWER, self.run_table(retry=True))
        self.entries = []
        self.members.revision = 3
        self.clock.advance(121)
        self.assertEqual("unknown", self.run_table(retry=True).ran)

    def test_marked_repeat_is_unknown_also_while_the_table_is_full(self):
        """Guards against "not run" from a table without room for the key."""
        self.patch(idempotency, "MAX_TABLE_BYTES", 0)
        self.assertEqual("unknown", self.run_table(retry=True).ran)
        self.assertEqual("no", self.run_table().ran)

    def test_full_table_drops_bodies_but_no_record_of_a_run(self):
        """Guards against a second run of a request dropped from the table."""
        self.patch(idempotency, "MAX_TABLE_BYTES", 70_000)
        self.outcome = Answer(status=200, headers=(), body=b"x" * 60_000)
        keys = [f"key-{n}" for n in range(70)]
        results = []
        for key in keys:
            request = caller_request(idempotency_key=key, idempotent=False)
            results.append(self.table.run(request, self.execute))
        ran = self.runs
        self.assertEqual("queue-full", results[-1].code)
        for key in keys[:ran]:
            request = caller_request(idempotency_key=key, idempotent=False)
            self.assertEqual(200, self.table.run(request, None).status)

    def test_repeat_of_a_large_answer_has_only_its_status(self):
        """Guards against a table that large answers fill."""
        self.outcome = Answer(status=200, headers=(), body=b"x" * 70_000)
        self.assertEqual(self.outcome, self.run_table())
        repeat = self.run_table()
        self.assertEqual((200, b""), (repeat.status, repeat.body))
        self.assertIn(("Rosemarynotch-Body-Dropped", "1"), repeat.headers)
