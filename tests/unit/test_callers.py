"""Tests of the answers of an entry to callers and to other entries."""

import io
import json
import threading
import time
from unittest import mock

import testtools

from rosemarynotch._internal.configuration import MAX_TICK_GAP_S
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.models.messages import Forward
from rosemarynotch._internal.models.messages import ForwardAnswer
from tests.lib.entries import caller_request
from tests.lib.entries import EntryUnderTest
from tests.lib.entries import KEY
from tests.lib.targets import answer_bytes
from tests.lib.targets import ScriptedTarget
from tests.lib.targets import unused_address

NOT_RUN = answer_bytes(b"", "503 X", b"Rosemarynotch-Not-Run: 1\r\n")
POST = {"method": "POST"}

# Changes to a valid request, and the status and code of the refusal.
REFUSED = {
    "no key": ({"authorization": ""}, 401, "key-missing"),
    "bad key": ({"authorization": f"Bearer {KEY}x"}, 401, "key-invalid"),
    "old key": (
        {"authorization": "Bearer red.k0.secret"},
        401,
        "key-withdrawn",
    ),
    "unknown team": (
        {"authorization": "Bearer green.k1.secret"},
        403,
        "team-unknown",
    ),
    "unknown service": ({"uri": "/s/nothing/x"}, 404, "queue-unknown"),
    "unknown queue": ({"rosemarynotch_queue": "no"}, 404, "queue-unknown"),
    "queue of another pool": (
        {"uri": "/s/orders/x", "rosemarynotch_queue": "rush"},
        404,
        "queue-unknown",
    ),
    "unknown path": ({"uri": "/x"}, 404, "pool-unknown"),
    "oversized": (
        {"body": b"x" * (512 * 1024 + 1)},
        413,
        "body-too-large",
    ),
    "truncated": ({"length": "7"}, 400, "body-truncated"),
    "path": ({"uri": "/s/quotes/a\tb"}, 400, "request-malformed"),
    "long key": ({"idempotency_key": "k" * 201}, 400, "request-malformed"),
}
for name, text in (
    ("worth", "nan"),
    ("worth", "0"),
    ("worth", "x"),
    ("deadline_ms", "0"),
    ("deadline_ms", "-1"),
    ("deadline_ms", "99999999999"),
    ("idempotent", "yes"),
    ("retry", ""),
):
    row = ({f"rosemarynotch_{name}": text}, 400, "request-malformed")
    REFUSED[f"{name}={text}"] = row


class CallerTest(testtools.TestCase):
    """Base class with an entry and scripted targets."""

    def start(self, *behaviours, **fields):
        self.targets = [ScriptedTarget(each) for each in behaviours]
        for target in self.targets:
            self.addCleanup(target.close)
        addresses = [target.address for target in self.targets]
        self.entry = EntryUnderTest(addresses or [unused_address()], **fields)

    def call(
        self, uri="/s/quotes/x", method="GET", body=b"", length=None, **headers
    ):
        headers = {"authorization": f"Bearer {KEY}", **headers}
        environ = {
            "REQUEST_METHOD": method,
            "REQUEST_URI": uri,
            "PATH_INFO": uri.partition("?")[0],
            "CONTENT_LENGTH": length or str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        for name, value in headers.items():
            environ["HTTP_" + name.upper()] = value
        sent = []
        parts = self.entry.app(environ, lambda *args: sent.append(args))
        self.headers = dict(sent[0][1])
        return int(sent[0][0].split()[0]), b"".join(parts)

    def arrived(self):
        return sum(len(target.requests) for target in self.targets)


class RefusalTest(CallerTest):
    """Guards against requests that run without authorization.

    Also guards against refusals that report a wrong status or outcome.
    """

    def test_refusals_did_not_run(self):
        """Guards against refused requests that run, and secrets in reasons."""
        self.start(lambda c, _: c.sendall(answer_bytes()))
        for name, (sent, status, code) in REFUSED.items():
            answer = self.call(**sent)
            self.assertEqual(status, answer[0], name)
            found = json.loads(answer[1])
            self.assertEqual((code, "no"), (found["code"], found["ran"]), name)
            self.assertEqual("no", self.headers["Rosemarynotch-Ran"])
            self.assertNotIn(KEY.rpartition(".")[2], found["reason"])
        self.assertEqual(0, self.arrived())

    def test_stale_configuration_refuses_only_requests_with_keys(self):
        """Guards against work with a key that may have been withdrawn.

        Queues that need no key go on.
        """
        self.start(lambda c, _: c.sendall(answer_bytes()))
        self.entry.stale = failures.CONFIGURATION_STALE
        self.assertEqual(503, self.call()[0])
        answer = self.call(rosemarynotch_queue="open", authorization="")
        self.assertEqual((200, b"ok"), answer)

    def test_full_entry_reserves_capacity_for_urgent_queues(self):
        """Guards against urgent requests refused because of other ones."""
        self.start(max_requests=10)
        self.entry.app._requests_count = 9
        self.assertEqual(429, self.call()[0])
        self.assertEqual(502, self.call(rosemarynotch_queue="rush")[0])

    def test_statuses_of_job_calls(self):
        """Guards against wrong statuses of job calls."""
        self.start()
        body = b'{"cores": 2.0, "payload": "p"}'
        queue = {"rosemarynotch_queue": "quotes"}
        for sent, status in (
            ({"uri": "/v1/jobs", "body": body, **POST, **queue}, 202),
            ({"uri": "/v1/jobs", "body": b"{", **POST, **queue}, 400),
            ({"uri": "/v1/jobs", "body": body, **POST}, 404),
            ({"uri": "/v1/jobs/j/cancel", **POST}, 202),
            ({"uri": "/v1/jobs/j"}, 404),
            ({"uri": "/v1/jobs/j", "authorization": ""}, 401),
            ({"uri": "/v1/jobs/j/x"}, 400),
        ):
            self.assertEqual(status, self.call(**sent)[0], sent)


class RetryTest(CallerTest):
    """Guards against requests that run twice or fail too early."""

    def test_outcomes_by_what_targets_do(self):
        """Guards against a second run of a request that is not idempotent.

        A target may refuse, answer, or close the connection without an answer.
        Permits of requests that may still run are held.
        """

        def refuse(connection, _):
            connection.sendall(NOT_RUN)

        def answer(connection, _):
            connection.sendall(answer_bytes())

        def close(connection, _):
            return False

        # Behaviours of the targets, method, expected status and ran, requests
        # that arrived at targets, permits still held.
        for behaviours, method, status, ran, arrivals, held in (
            ((refuse, answer), "POST", 200, None, 2, 0),
            ((close, answer), "GET", 200, None, 2, 1),
            ((close, answer), "POST", 502, "unknown", 1, 1),
            ((refuse,), "POST", 503, "no", 3, 0),
            ((close,), "GET", 502, "unknown", 3, 3),
        ):
            self.start(*behaviours)
            self.entry.dispatcher._router = _FirstCandidateRouter()
            answer_found = self.call(method=method)
            found = answer_found[0], self.headers.get("Rosemarynotch-Ran")
            self.assertEqual((status, ran), found)
            self.assertEqual(arrivals, self.arrived())
            self.assertEqual(held, self.entry.permits.running("red"))

    def test_unreachable_target_did_not_run(self):
        """Guards against an unknown outcome if no target was reached."""
        self.start()
        status, body = self.call(method="POST")
        self.assertEqual(502, status)
        self.assertEqual("no", json.loads(body)["ran"])
        self.assertEqual(0, self.entry.permits.running("red"))

    def test_pause_between_admission_and_sending(self):
        """Guards against a request that is sent beyond the limit of its team.

        Its permit may have been reclaimed. It is admitted again, also where
        there is no other target.
        """
        self.start(lambda c, _: c.sendall(answer_bytes()))
        dispatcher = self.entry.dispatcher
        admit = dispatcher.admit
        grants = []

        def admit_and_pause(*args):
            grants.append(admit(*args))
            if len(grants) == 1:
                grants[0].started_s -= MAX_TICK_GAP_S
                self.assertEqual(1, self.entry.permits.running("red"))
            return grants[-1]

        record = mock.patch.object(self.entry.health, "record_outcome")
        with mock.patch.object(dispatcher, "admit", admit_and_pause), record:
            self.assertEqual((200, b"ok"), self.call(method="POST"))
            self.entry.health.record_outcome.assert_called_once()
        self.assertEqual((2, 1), (len(grants), self.arrived()))
        self.assertEqual(0, self.entry.permits.running("red"))

    def test_connection_without_answer_times_out_early_enough_to_retry(self):
        """Guards against waiting for one target until the deadline."""
        requests = []

        def stall_once(connection, _):
            requests.append(connection)
            if len(requests) == 21:
                time.sleep(5)
                return False
            connection.sendall(answer_bytes())

        self.start(stall_once)
        for _ in range(20):
            self.assertEqual(200, self.call()[0])
        start_s = time.monotonic()
        self.assertEqual(200, self.call()[0])
        self.assertTrue(time.monotonic() - start_s < 4)
        self.assertEqual(1, self.entry.permits.running("red"))

    def test_deadline_bounds_the_exchange(self):
        """Guards against an answer after the deadline.

        The target may still run the request, so the permit is held.
        """
        release = threading.Event()
        self.start(lambda *_: release.wait(5))
        status, body = self.call(rosemarynotch_deadline_ms="100", **POST)
        release.set()
        self.assertEqual(504, status)
        self.assertEqual("unknown", json.loads(body)["ran"])
        self.assertEqual(1, self.entry.permits.running("red"))


class ForwardingTest(CallerTest):
    """Guards against requests that run at the wrong entry."""

    def setUp(self):
        super().setUp()
        self.start(lambda c, _: c.sendall(answer_bytes()))
        other = EntryUnderTest([self.targets[0].address], name="entry-2")
        other.members.owner = lambda team, key: key.partition("@")[2]
        self.other = other
        self.exchange = self.entry.exchange
        self.exchange.handlers["entry-2"] = other.forwarder.handle_forward

    def test_key_goes_to_its_owner_and_runs_once(self):
        """Guards against a second run of an idempotency key."""
        for _ in range(2):
            answer = self.call(idempotency_key="k@entry-2", **POST)
            self.assertEqual((200, b"ok"), answer)
        self.assertEqual(2, len(self.exchange.sent))
        self.assertEqual(1, self.arrived())

    def test_owner_refuses_under_its_newer_record_only(self):
        """Guards against running a key at an entry that does not own it.

        If the sender has the newer members record, the receiver may own the
        key without knowing it.
        """
        request = caller_request(idempotency_key="k@entry-3")
        for revision, code in ((1, "not-owner"), (2, None)):
            forward = Forward(
                request=request, members_revision=revision, config_version=1
            )
            found = self.other.forwarder.handle_forward(forward)
            self.assertEqual(code, found.failure and found.failure.code)

    def test_team_without_a_portion_goes_to_the_largest_holder(self):
        """Guards against requests waiting where their team has no portion."""
        self.entry.permits.portions["red"] = 0
        self.entry.permits.holder = "entry-2"
        self.assertEqual(200, self.call()[0])
        self.assertEqual("entry-2", self.exchange.sent[0][0])
        self.assertEqual(0, self.entry.permits.peak_running)
        self.assertEqual(1, self.other.permits.peak_running)

    def test_forwarded_request_is_never_forwarded_again(self):
        """Guards against requests that are forwarded in a circle."""
        self.other.permits.portions["red"] = 0
        self.other.permits.holder = "entry-1"
        request = caller_request(remaining_ms=50)
        forward = Forward(
            request=request, members_revision=1, config_version=1
        )
        found = self.other.forwarder.handle_forward(forward)
        self.assertEqual("deadline-passed", found.failure.code)
        self.assertEqual([], self.other.exchange.sent)

    def test_refusal_at_the_deadline_is_awaited(self):
        """Guards against an unknown outcome of a request that did not run.

        It waits in the queue of another entry until its deadline. The sender
        has to wait a little longer to receive the refusal.
        """
        self.assertEqual(200, self.call(idempotency_key="k@entry-2")[0])
        sent = self.exchange.sent[0][1].request
        timeout_s = self.exchange.timeouts_s[0]
        self.assertTrue(timeout_s > sent.remaining_ms / 1000)

    def test_owner_that_does_not_respond(self):
        """Guards against wrong outcomes if the owner of a key is silent."""
        # Failure of the exchange, method, expected status and ran, requests
        # that run at targets.
        for failure, method, status, ran, runs in (
            (failures.PEER_TIMEOUT, "POST", 504, "unknown", 0),
            (failures.PEER_TIMEOUT, "GET", 200, None, 1),
            (failures.PEER_UNREACHABLE, "POST", 503, "no", 0),
        ):
            self.exchange.failure = failure
            before = self.arrived()
            found = self.call(idempotency_key="k@entry-2", method=method)[0]
            self.assertEqual(status, found)
            self.assertEqual(ran, self.headers.get("Rosemarynotch-Ran"))
            self.assertEqual(runs, self.arrived() - before)

    def test_repeat_that_does_not_reach_the_owner_is_unknown(self):
        """Guards against "not run" for a key that ran before.

        The sender of a repeat may have no contact with the owner, no common
        version, or an older members record, and the owner no such queue.
        """
        repeat = {"idempotency_key": "k@entry-2", "rosemarynotch_retry": "1"}
        for failure in (failures.PEER_UNREACHABLE, failures.PEER_VERSION):
            self.exchange.failure = failure
            for fields, ran in (
                ({"method": "POST", **repeat}, "unknown"),
                ({"method": "GET", **repeat}, "no"),
                ({"method": "POST", "rosemarynotch_retry": "1"}, None),
            ):
                self.call(**fields)
                self.assertEqual(ran, self.headers.get("Rosemarynotch-Ran"))
        for fields in ({"key": "k@entry-3"}, {"queue": "none"}):
            request = caller_request(
                idempotency_key=fields.pop("key", "k@entry-2"),
                retry=True,
                idempotent=False,
                **fields,
            )
            forward = Forward(
                request=request, members_revision=1, config_version=1
            )
            found = self.other.forwarder.handle_forward(forward)
            self.assertEqual("outcome-unknown", found.failure.code)

    def test_refusal_of_the_owner_is_returned(self):
        """Guards against hiding the owner's refusal from the caller."""
        refusal = ForwardAnswer(failure=failures.QUEUE_FULL)
        self.exchange.handlers["entry-2"] = lambda _: refusal
        self.assertEqual(429, self.call(idempotency_key="k@entry-2")[0])
        self.assertEqual("no", self.headers["Rosemarynotch-Ran"])


class _FirstCandidateRouter:
    """A router that always selects the first candidate."""

    def pick(self, candidates):
        return candidates[0]
