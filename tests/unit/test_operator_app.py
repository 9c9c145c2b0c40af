"""Tests of the operators' API."""

import testtools

from rosemarynotch._internal.configuration import make_key
from rosemarynotch._internal.exceptions import JOB_UNKNOWN
from rosemarynotch._internal.models.jobs import JobState
from rosemarynotch._internal.operators import OperatorJobs
from tests.lib.documents import TOML
from tests.lib.operators import OperatorPort
from tests.lib.stores import Fault

WITH_KEY = TOML.replace(
    "share = 2,",
    'share = 2, keys = [{ key_id = "k1", salt = "SALT", digest = "D" }],',
)
WITH_KEY = WITH_KEY.replace("SALT", "a" * 16).replace('"D"', f'"{"b" * 64}"')
LOWER_LIMIT = TOML.replace("limit_requests = 10", "limit_requests = 1", 1)
CHANGE_BODY = {"change_id": "c1", "operator": "anna", "reason": "r"}
DOCUMENT_BODY = {**CHANGE_BODY, "expected_version": 0, "document": TOML}

TRY, ROLLBACK = "/v1/config/try", "/v1/config/rollback"


def document_body(**fields):
    return {**DOCUMENT_BODY, **fields}


def change_body(**fields):
    return {**CHANGE_BODY, **fields}


# (method, path, body, status, code)
REFUSED = (
    ("GET", "/v1/nothing", None, 400, "request-malformed"),
    ("POST", "/v1/config", {}, 400, "request-malformed"),
    ("POST", TRY, b"{", 400, "request-malformed"),
    ("POST", TRY, [], 400, "request-malformed"),
    ("POST", TRY, CHANGE_BODY, 400, "request-malformed"),
    ("POST", TRY, b" " * 1048577, 413, "body-too-large"),
    (
        "POST",
        TRY,
        document_body(document="a = 1"),
        422,
        "document-malformed",
    ),
    ("POST", TRY, document_body(operator="bert"), 401, "operator-key-invalid"),
    ("POST", TRY, document_body(reason=" "), 400, "request-malformed"),
    ("POST", TRY, document_body(change_id="a/b"), 400, "request-malformed"),
    ("POST", TRY, document_body(expected_version=3), 409, "version-changed"),
    (
        "POST",
        "/v1/config/promote",
        document_body(digest="0" * 64),
        409,
        "document-not-tried",
    ),
    (
        "POST",
        ROLLBACK,
        change_body(expected_version=0, to_version=4),
        404,
        "store-key-missing",
    ),
    ("GET", "/v1/config/changes/c9", None, 404, "store-key-missing"),
    ("POST", "/v1/vms/s-9/drain", CHANGE_BODY, 404, "vm-unknown"),
    ("POST", "/v1/vms/s-1/move", CHANGE_BODY, 400, "request-malformed"),
    ("POST", "/v1/waves/w/start", CHANGE_BODY, 404, "wave-unknown"),
    ("GET", "/v1/fleet/revisions/x", None, 400, "request-malformed"),
    (
        "POST",
        "/v1/keys/withdraw",
        change_body(team="x", key_id="k"),
        403,
        "team-unknown",
    ),
    ("POST", "/v1/jobs/j9/cancel", change_body(team="t"), 404, "job-unknown"),
)


class OperatorAppTest(testtools.TestCase):
    """Guards against operators' requests wrongly refused or accepted."""

    def setUp(self):
        super().setUp()
        self.port = OperatorPort()

    def try_document(self, document, number=1, version=0, **fields):
        result = self.port.change(
            "/v1/config/try",
            number,
            expected_version=version,
            document=document,
            **fields,
        )
        self.port.follow()
        return result

    def test_refusals(self):
        """Guards against invalid requests that are accepted."""
        for method, path, body, status, code in REFUSED:
            got, answer = self.port.call(method, path, body)
            self.assertEqual((status, code), (got, answer["code"]), path)
            self.assertEqual("no", answer["ran"])

    def test_invalid_operator_keys_are_refused(self):
        """Guards against access without a valid operator key."""
        unknown_key, _ = make_key("anna", "k1")
        for key in ("", "anna", "anna.k1.x", "bert.k1.x", unknown_key):
            for path in ("/v1/config", "/v1/nothing"):
                status, answer = self.port.call("GET", path, key=key)
                self.assertEqual(401, status)
                self.assertEqual("operator-key-invalid", answer["code"])

    def test_change_is_accepted_and_then_in_force(self):
        """Guards against reporting a change in force before members follow.

        A repeated request must not make another version.
        """
        status, answer = self.try_document(TOML)
        self.assertEqual(
            (200, 1, 0), (status, answer["version"], answer["in_force"])
        )
        status, answer = self.port.call("GET", "/v1/config/changes/c1")
        self.assertEqual((1, 1), (answer["in_force"], answer["members"]))
        again = self.try_document(TOML)
        self.assertEqual((200, 1), (again[0], again[1]["version"]))
        _, answer = self.port.call("GET", "/v1/config/history")
        self.assertEqual(["c1"], [v["change_id"] for v in answer["versions"]])

    def test_all_problems_of_a_document_are_reported(self):
        """Guards against reporting only the first problem."""
        bad = TOML.replace("share = 1", "share = 0").replace("s-2", "s-1")
        _, answer = self.try_document(bad)
        self.assertEqual(2, len(answer["reason"].splitlines()))

    def test_change_with_consequences_needs_a_confirmation(self):
        """Guards against withdrawing a key by mistake."""
        self.try_document(WITH_KEY)
        status, answer = self.try_document(TOML, 2, 1)
        self.assertEqual(
            (409, "confirmation-needed"), (status, answer["code"])
        )
        self.assertIn("key k1 stops working", answer["reason"])
        _, answer = self.port.call(
            "POST", "/v1/config/diff", {"document": TOML}
        )
        self.assertEqual(
            ["team harbour: key k1 withdrawn"], answer["differences"]
        )
        status, answer = self.try_document(TOML, 2, 1, confirmed=True)
        self.assertEqual((200, 2), (status, answer["version"]))

    def test_rollback_that_restores_a_key_needs_a_confirmation(self):
        """Guards against a withdrawn key that works again unnoticed."""
        self.try_document(WITH_KEY)
        self.try_document(TOML, 2, 1, confirmed=True)
        fields = {"expected_version": 2, "to_version": 1}
        status, answer = self.port.change("/v1/config/rollback", 3, **fields)
        self.assertEqual(409, status)
        self.assertIn("key k1 works again", answer["reason"])
        status, answer = self.port.change(
            "/v1/config/rollback", 3, **fields, confirmed=True
        )
        self.assertEqual((200, 3), (status, answer["version"]))

    def test_only_the_tried_document_is_promoted(self):
        """Guards against promoting a document that was not tried."""
        _, tried = self.try_document(TOML)
        digest = tried["digest"]
        _, trial = self.port.call("GET", f"/v1/config/tried/{digest}")
        production = OperatorPort(is_trial=False)
        body = {**DOCUMENT_BODY, "digest": digest}
        status, answer = production.call("POST", "/v1/config/try", body)
        self.assertEqual("request-malformed", answer["code"])
        status, answer = production.call("POST", "/v1/config/promote", body)
        self.assertEqual("document-not-tried", answer["code"])
        body["trial"] = trial
        for document, wanted in ((LOWER_LIMIT, 409), (TOML, 200)):
            body["document"] = document
            status, _ = production.call("POST", "/v1/config/promote", body)
            self.assertEqual(wanted, status)

    def test_adding_and_withdrawing_a_key_make_versions(self):
        """Guards against key changes that are lost or apply twice."""
        self.try_document(TOML)
        text, spec = make_key("harbour", "k2")
        key = {"key_id": "k2", "salt": spec.salt, "digest": spec.digest}
        for _ in range(2):
            status, answer = self.port.change(
                "/v1/keys/give", 2, team="harbour", key=key
            )
            self.assertEqual((200, 2), (status, answer["version"]))
        other = {**key, "salt": "b" * 16}
        for number, code in (
            (2, "idempotency-key-reused"),
            (3, "document-malformed"),
        ):
            status, answer = self.port.change(
                "/v1/keys/give", number, team="harbour", key=other
            )
            self.assertEqual(code, answer["code"])
        for _ in range(2):
            status, answer = self.port.change(
                "/v1/keys/withdraw", 4, team="harbour", key_id="k2"
            )
            self.assertEqual((200, 3), (status, answer["version"]))

    def test_fleet_operations(self):
        """Guards against drains that break a budget or apply twice."""
        self.try_document(TOML)
        for _ in range(2):
            status, answer = self.port.change("/v1/vms/s-1/drain")
            self.assertEqual(200, status, answer)
        self.assertEqual(0, answer["in_force"])
        self.port.follow()
        revision = answer["fleet_revision"]
        _, answer = self.port.call("GET", f"/v1/fleet/revisions/{revision}")
        self.assertEqual(1, answer["in_force"])
        status, answer = self.port.change("/v1/vms/s-2/drain", 2)
        self.assertEqual("budget-would-break", answer["code"])
        status, answer = self.port.change("/v1/vms/s-1/undrain", 3)
        self.assertEqual(200, status)

    def test_waves(self):
        """Guards against showing a wave with a wrong state or progress."""
        wave = '[[waves]]\nname = "w"\npools = ["settlement"]\n'
        self.try_document(TOML + wave)
        self.assertEqual({"waves": []}, self.port.call("GET", "/v1/waves")[1])
        self.port.change("/v1/waves/w/start")
        self.port.follow()
        _, answer = self.port.call("GET", "/v1/waves")
        self.assertEqual(
            [("w", "running", 0, 2)],
            [
                (each["name"], each["state"], each["done_vms"], total)
                for each in answer["waves"]
                for total in [each["total_vms"]]
            ],
        )

    def test_store_outage_and_lost_answers_have_different_codes(self):
        """Guards against reporting a change as not made that may be made."""
        self.try_document(TOML)
        self.port.store.fault = Fault.DOWN
        _, answer = self.port.change("/v1/vms/s-1/drain")
        self.assertEqual(
            ("store-unavailable", "no"), (answer["code"], answer["ran"])
        )
        self.port.store.fault = Fault.LOST_ANSWER
        _, answer = self.port.change("/v1/vms/s-1/drain")
        self.assertEqual(
            ("change-unknown", "unknown"), (answer["code"], answer["ran"])
        )
        self.assertIn("c1", answer["reason"])

    def test_report_status_metrics_and_jobs(self):
        """Guards against pages that fail or contain unescaped names."""
        self.try_document(TOML)
        self.port.metrics.record_ms("wait", 3, team="<a>")
        _, text = self.port.call("GET", "/v1/report")
        self.assertIn("No promise at risk", text)
        _, page = self.port.call("GET", "/v1/report?format=html")
        self.assertIn("<svg", page)
        self.assertNotIn("<a>", page)
        _, status = self.port.call("GET", "/v1/status")
        self.assertEqual([], status["findings"])
        _, metrics = self.port.call("GET", "/v1/metrics")
        self.assertEqual(1, metrics["summaries"]["wait{team=<a>}"]["count"])
        job = self.port.add_job("market", 1, JobState.QUEUED)
        _, jobs = self.port.call("GET", "/v1/jobs?team=market")
        self.assertEqual([job], [item["job_id"] for item in jobs["jobs"]])
        path = f"/v1/jobs/{job}/cancel"
        status, _ = self.port.change(path, team="market")
        self.assertEqual(200, status)
        self.assertEqual(1, len(self.port.store.keys("jobs/batches/")))


class OperatorJobsTest(testtools.TestCase):
    """Guards against a truncated list without unfinished jobs.

    Also guards against cancellations for a team that does not own the job.
    """

    def setUp(self):
        super().setUp()
        port = OperatorPort()
        self.jobs = OperatorJobs(port.records, port.jobs)
        for number, (team, state) in enumerate(
            (
                ("harbour", JobState.DONE),
                ("market", JobState.RUNNING),
                ("harbour", JobState.QUEUED),
            )
        ):
            port.add_job(team, number, state)

    def test_unfinished_jobs_come_first(self):
        """Guards against finished jobs that displace unfinished ones."""
        states = [job.state for job in self.jobs.list_jobs("")]
        self.assertEqual(["running", "queued", "done"], states)
        teams = {job.team for job in self.jobs.list_jobs("harbour")}
        self.assertEqual({"harbour"}, teams)

    def test_cancel_needs_the_team_of_the_job(self):
        """Guards against cancelling another team's job."""
        job = self.jobs.list_jobs("market")[0]
        self.assertIsNone(self.jobs.cancel("market", job.job_id))
        for team, job_id in (("harbour", job.job_id), ("market", "x")):
            failure = self.jobs.cancel(team, job_id)
            self.assertTrue(failure.is_a(JOB_UNKNOWN))
