"""Tests of the validation of input from outside the process.

Malformed input of callers, operators, workers, services and other nodes must
be refused without raising an exception.
"""

import io
import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import testtools

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.platform import CallerInterface
from rosemarynotch._internal.platform import decode_configuration
from rosemarynotch._internal.platform import decode_wave
from rosemarynotch._internal.platform import decode_worker
from rosemarynotch._internal.platform import HttpFleetService
from rosemarynotch._internal.platform import HttpWorkerChannel
from rosemarynotch._internal.scheduling.hints import Hint
from rosemarynotch._internal.scheduling.intake import JobIntake
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.records import LoadRecord
from rosemarynotch._internal.scheduling.records import ProgressRecord
from rosemarynotch._internal.scheduling.records import RosterRecord
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from rosemarynotch._internal.utils.http import Reply
from tests.lib.clocks import ManualClock
from tests.lib.nodes import configuration
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import QUEUE
from tests.lib.scheduling import step

STEP = {"count": 1}
DEEPLY_NESTED = b"[" * 100_000 + b"]" * 100_000
WORKER = {
    "state": "ready",
    "backend": "p",
    "address": "10.0.0.1:80",
    "capacity": {"cpu": 64000, "mem-mb": 1000, "gpu": 0},
}
WAVE = {"wave": 1, "machines": ["m"], "duration-s": 20, "cap": 1}


def item(key, value):
    """Return an item of the store."""
    return Item(key=key, revision=1, value=value)


# Values of all types, sizes and depths.
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from([10**25, -1, 1e300, "\ud800", "x" * 300]),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)


def with_one_change(document):
    """Return a strategy for copies with one field replaced or removed."""

    def change(choice):
        path, value, is_removed = choice
        copy = json.loads(json.dumps(document))
        at = copy
        for part in path[:-1]:
            at = at[part]
        if is_removed:
            del at[path[-1]]
        else:
            at[path[-1]] = value
        return json.dumps(copy).encode()

    paths = list(_paths(document))
    return st.tuples(st.sampled_from(paths), VALUES, st.booleans()).map(change)


def _paths(value, path=()):
    if path:
        yield path
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, each in items:
        yield from _paths(each, (*path, key))


class FakeJobApi:
    """Records the job specifications that the interface submits."""

    def __init__(self):
        self.specs = []

    def resolve_request(self, *, host, path, key, wait_ms):
        class Request:
            queue = QUEUE

        return Request

    def submit(self, request, job_id, spec):
        self.specs.append(spec)


class CallerInputTest(testtools.TestCase):
    """Guards against bad fields that are accepted or not named."""

    def post(self, body, **environ):
        """Return status and answer of a submission."""
        self.job_api = FakeJobApi()
        statuses = []
        data = CallerInterface(self.job_api)(
            {
                "REQUEST_METHOD": "POST",
                "PATH_INFO": "/q/0123456789abcdef",
                "wsgi.input": io.BytesIO(body),
                **environ,
            },
            lambda status, headers: statuses.append(int(status[:3])),
        )
        return statuses[0], json.loads(b"".join(data))

    def assert_refused(self, name, body, **environ):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        status, answer = self.post(body, **environ)
        self.assertEqual(400, status, answer)
        self.assertIn(name, answer["reason"])
        self.assertEqual([], self.job_api.specs)

    def test_numbers_out_of_range(self):
        """Guards against negative sizes that raise an organisation's cap."""
        for name, value in (
            ("cpu", -4000),
            ("cpu", 1e300),
            ("cpu", 10**25),
            ("mem-mb", -1),
            ("gpu", -1),
            ("gpu", 0.5),
            ("estimated-ms", -5),
            ("estimated-ms", 10**25),
            ("count", 0),
            ("count", 10**25),
            ("max-per-server", -1),
            ("target-ms", -1),
            ("max-unavailable", -1),
        ):
            self.assert_refused(name, {"steps": [{**STEP, name: value}]})
        for name, value in (
            ("interval-ms", -100),
            ("first-run-ms", -1e18),
            ("first-run-ms", 1e300),
            ("repeat-count", -1),
        ):
            self.assert_refused(name, {"steps": [STEP], name: value})

    def test_fields_of_wrong_type(self):
        """Guards against "false" read as true and null read as a text."""
        for name in ("gang", "fills", "speculative", "long-running"):
            self.assert_refused(name, {"steps": [{**STEP, name: "false"}]})
        self.assert_refused("spec", {"steps": [STEP], "spec": None})
        self.assert_refused("steps", {"steps": {}})
        self.assert_refused("after", {"steps": [{**STEP, "after": "0"}]})

    def test_invalid_or_deeply_nested_json(self):
        """Guards against the status 500 for input that is not valid JSON."""
        deep = b'{"steps":[{"count":1}],"x":' + DEEPLY_NESTED + b"}"
        self.assert_refused("deep", deep)
        self.assert_refused("", b'{"steps":[{"count":Infinity}]}')
        self.assert_refused("", b"\xff\xfe")
        self.assert_refused("", b"")

    def test_limits_over_several_fields(self):
        """Guards against jobs that break limits over several fields."""
        self.assert_refused("tasks", {"steps": []})
        self.assert_refused("tasks", {"steps": [{"count": 5000}, STEP]})
        self.assert_refused("spec", {"steps": [STEP], "spec": "x" * 4001})
        self.assert_refused("after", {"steps": [{**STEP, "after": [0]}]})

    def test_deadline_header(self):
        """Guards against the status 500 for a header with 400 digits."""
        body = {"steps": [STEP]}
        for text in ("9" * 400, "-1", "1e3", "soon"):
            self.assert_refused(
                "Deadline", body, HTTP_ROSEMARYNOTCH_DEADLINE_MS=text
            )
        for text in ("3000", "3000.5", ""):
            status, _ = self.post(
                json.dumps(body).encode(),
                HTTP_ROSEMARYNOTCH_DEADLINE_MS=text,
            )
            self.assertEqual(200, status)

    # Guards against the status 500 for bodies with one field changed.
    @settings(deadline=None)
    @given(
        with_one_change(
            {
                "spec": "s",
                "repeat-count": 2,
                "first-run-ms": 5,
                "interval-ms": 5,
                "steps": [
                    STEP,
                    {
                        "count": 2,
                        "cpu": 5,
                        "mem-mb": 5,
                        "gpu": 0,
                        "estimated-ms": 5,
                        "after": [0],
                        "gang": True,
                        "affinity": "r",
                    },
                ],
            }
        )
    )
    def test_any_body(self, body):
        """Any body is refused with 400 or is a job that can be encoded."""
        status, _ = self.post(body)
        self.assertIn(status, (200, 400))
        for spec in self.job_api.specs:
            encode(spec)
            for each in spec.steps:
                self.assertGreaterEqual(each.size.cpu_millicores, 0)


class DocumentInputTest(testtools.TestCase):
    """Guards against a malformed row that invalidates other rows."""

    def decode(self, **changes):
        body = json.dumps(configuration(**changes)).encode()
        return decode_configuration(item("op/config", body))

    def test_keys_as_text(self):
        """Guards against a text whose letters are taken as API keys."""
        rows = [
            {"name": "a", "api-keys": "abc"},
            {"name": "b", "api-keys": ["key-b"]},
        ]
        decoded = self.decode(tenants=rows)
        self.assertIsNone(decoded.organisation_of("a"))
        self.assertEqual("b", decoded.organisation_of("key-b"))
        self.assertEqual(1, len(decoded.refused))

    def test_limits_as_text_and_infinite_cap(self):
        """Guards against a crash of the configuration thread."""
        decoded = self.decode(limits="none")
        self.assertEqual(15_000, decoded.limits.idle_timeout_ms)
        self.assertEqual(1, len(decoded.refused))
        body = json.dumps(configuration()).replace(
            '"cap": {}', '"cap": {"cpu": 1e999}', 1
        )
        decoded = decode_configuration(item("op/config", body.encode()))
        self.assertEqual(["team-b"], list(decoded.organisations))

    def test_deep_documents(self):
        """Guards against an exception on deeply nested documents.

        A document that cannot be decoded is refused as a whole.
        """
        for decode_one in (decode_configuration, decode_wave, decode_worker):
            self.assertIsInstance(
                decode_one(item("k", DEEPLY_NESTED)), Failure
            )

    # Guards against a configuration thread that ends with an exception.
    @settings(deadline=None)
    @given(with_one_change(configuration()))
    def test_any_configuration(self, body):
        """No configuration raises; the accepted rows can be used."""
        decoded = decode_configuration(item("op/config", body))
        if not isinstance(decoded, Failure):
            decoded.find_queue("queues.example", "/one/x")
            for queue in decoded.queues:
                self.assertIsInstance(queue.max_failures, int)

    # Guards against a thread of the leader that ends with an exception.
    @settings(deadline=None)
    @given(with_one_change(WORKER), with_one_change(WAVE))
    def test_any_worker_and_wave(self, worker, wave):
        """No worker entry and no wave raises."""
        entry = decode_worker(item("servers/w", worker))
        if not isinstance(entry, Failure):
            self.assertGreaterEqual(entry.capacity.cpu_millicores, 0)
        decode_wave(item("op/wave/1", wave))


class FakeHttp:
    """Answers each call with the same body."""

    def __init__(self, body, status=200):
        self._reply = Reply(status, {}, body)

    def call(self, *args, **options):
        return self._reply

    def close(self):
        """Do nothing."""


class AnswerInputTest(testtools.TestCase):
    """Guards against malformed answers or rows that end a thread."""

    def report(self, answer):
        body = answer if isinstance(answer, bytes) else json.dumps(answer)
        if isinstance(body, str):
            body = body.encode()
        channel = HttpWorkerChannel(
            lambda timeout_s, check: FakeHttp(body), "w", lambda repeats: 0.25
        )
        return channel.report(1, 0, 0, 0)

    def test_malformed_rows_of_a_report(self):
        """Guards against one malformed row that hides all runs of a worker."""
        report = self.report(
            {
                "clock-ms": 5,
                "running": [["j.0.0.1", 1, "", 50], ["j.0.0.2"], 7],
                "finished": [[1, "j.0.0.3", 1, "exploded", ""]],
            }
        )
        self.assertEqual(1, len(report.running))
        self.assertEqual(3, len(report.refused))

    def test_malformed_vm(self):
        """Guards against one malformed row that ends the leader's term."""
        rows = [{"machine": 7}, {"machine": "m", "pool": "p", "state": "up"}]
        body = json.dumps({"machines": rows}).encode()
        listing = HttpFleetService(FakeHttp(body), "node", bool).vms()
        self.assertEqual(["m"], [vm.name for vm in listing.vms])
        self.assertFalse(listing.is_complete)

    # Guards against a thread that ends with an exception on a report.
    @settings(deadline=None)
    @given(
        with_one_change(
            {
                "clock-ms": 5,
                "born": 7,
                "running": [["j.0.0.1", 1, "", 50, 3.5]],
                "finished": [[1, "j.0.0.3", 1, "done", ""]],
            }
        )
    )
    def test_any_report(self, body):
        """No report raises."""
        self.report(body)

    # Guards against a thread that ends with an exception on random bytes.
    @settings(deadline=None)
    @given(st.binary(max_size=200))
    def test_any_record(self, data):
        """Records and datagrams are refused without an exception."""
        kinds = (Hint, LoadRecord, ProgressRecord, RosterRecord)
        for kind in (*kinds, SubmissionRecord):
            decode(data, kind)

    def test_deep_datagram(self):
        """Guards against nested arrays that end the receiving thread."""
        data = b"\x82\xa1x" + b"\x91" * 1300 + b"\xc0"
        self.assertIsInstance(decode(data, Hint), Failure)


class RecordingStore:
    """Accepts each transaction and records the keys."""

    def __init__(self):
        self.keys = []

    def commit(self, conditions, writes, deletes=[]):
        self.keys += [write.key for write in writes]
        return 7


class BatchTest(testtools.TestCase):
    """Guards against one invalid job that fails its whole batch."""

    def test_job_that_cannot_be_encoded(self):
        """Guards against 504 for valid jobs in the batch of an invalid one.

        With six such jobs, 35 of 54 valid jobs got the status 504.
        """
        store = RecordingStore()
        intake = JobIntake(
            store, ManualClock(), "config", lambda event, **fields: None
        )
        bad = job_spec(step(estimated_ms=10**25))
        answer = intake.submit("0" * 16, self.record(bad), 1)
        self.assertEqual(400, answer.status)
        large = job_spec(*[step(image="x" * 200)] * 300)
        answer = intake.submit("1" * 16, self.record(large), 1)
        self.assertEqual("job-too-large", answer.code)
        self.assertEqual([], store.keys)

    @staticmethod
    def record(spec):
        return SubmissionRecord(
            policy=QUEUE,
            organisation="o",
            spec=spec,
            accepted_unix_ms=0,
            attempt_id="a",
        )
