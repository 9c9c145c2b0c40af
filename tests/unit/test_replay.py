"""Tests of the replay tool, mostly against targets without entries."""

from pathlib import Path
import random
import threading

import attrs
import msgspec
import pytest

from rosemarynotch._internal.cli.replay import replay
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.replay.job_sending import JobSender
from rosemarynotch._internal.replay.load import generate_load
from rosemarynotch._internal.replay.load import LoadClass
from rosemarynotch._internal.replay.load import LoadProfile
from rosemarynotch._internal.replay.load_summary import format_load
from rosemarynotch._internal.replay.load_summary import summarize_load
from rosemarynotch._internal.replay.sending import DirectSender
from rosemarynotch._internal.replay.sending import Result
from rosemarynotch._internal.replay.shares import distance
from rosemarynotch._internal.replay.shares import max_min
from rosemarynotch._internal.replay.summary import format_jobs
from rosemarynotch._internal.replay.summary import format_trace
from rosemarynotch._internal.replay.summary import MAX_COLUMNS
from rosemarynotch._internal.replay.trace import JobWork
from rosemarynotch._internal.replay.trace import load_trace
from rosemarynotch._internal.replay.trace import TraceRow
from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.http import Reply
from standins.target_server import TargetProcess
from standins.target_state import Fault
from standins.target_state import FaultKind
from tests.lib.clocks import ManualClock
from traces import generate

TRACES = Path(generate.__file__).parent


def _row(**fields) -> TraceRow:
    fields = {
        "request_id": "r-1",
        "offset_ms": 0.0,
        "service": "orders",
        "queue": "orders",
        "team": "a",
        "key": "a",
        "method": "POST",
        "idempotent": False,
        "work_ms": 1.0,
        "worth": 1.0,
        "entry": 0,
        "outcome": "answered",
        **fields,
    }
    return TraceRow(**fields)


def _write(tmp_path, *rows) -> str:
    path = tmp_path / "trace.jsonl"
    path.write_bytes(generate.to_lines(list(rows)))
    return str(path)


@pytest.fixture
def process():
    running = TargetProcess(slots=2, connections=3)
    yield running
    running.close()


@pytest.fixture
def target(process):
    return process.add("127.0.0.1:0")


def _send(target, **fields) -> Result:
    sender = DirectSender([target.address], SystemClock(), 1.0)
    return sender.send(_row(**fields))


@pytest.mark.parametrize(
    "kind,code,ran,runs",
    [
        (FaultKind.NONE, "answered", Ran.YES, 1),
        (FaultKind.FAIL, "status-500", Ran.YES, 0),
        (FaultKind.LATE, "answered", Ran.YES, 1),
        (FaultKind.TRUNCATE, "connection-broken", Ran.UNKNOWN, 1),
        (FaultKind.CLOSE, "connection-broken", Ran.UNKNOWN, 1),
    ],
)
def test_outcome_under_fault(target, kind, code, ran, runs):
    """Guards against counting an incomplete answer as an answer."""
    target.set_fault(Fault(kind=kind, late_ms=20.0))

    result = _send(target)

    assert (result.code, result.ran) == (code, ran)
    assert len(target.process.ledger.show()["requests"]) == runs


def test_silent_connection(target):
    """Guards against a silent fault that also affects new connections."""
    sender = DirectSender([target.address], SystemClock(), 0.2)
    assert sender.send(_row()).is_answered
    target.set_fault(Fault(kind=FaultKind.SILENT))

    assert sender.send(_row(request_id="r-2")).ran is Ran.UNKNOWN
    assert sender.send(_row(request_id="r-3")).is_answered

    runs = target.process.ledger.show()["runs_by_id"]
    assert sorted(runs) == ["r-1", "r-3"]


def test_draining_target_refuses(target):
    """Guards against requests that run on a draining target stand-in."""
    target.draining = True

    result = _send(target)

    assert (result.code, result.ran) == ("target-refused", Ran.NO)
    assert not target.process.ledger.show()["requests"]


def test_target_slots_and_connections(target):
    """Guards against a stand-in with more slots or connections than set."""
    # Long enough for requests of five callers to overlap on a busy machine.
    profile = _profile(callers=5, work_ms=100.0, measured_s=2.0)
    sender = DirectSender([target.address], SystemClock(), 1.0)

    results = generate_load(profile, sender, SystemClock(), 1, 1)

    assert target.process.ledger.show()["max_running_by_team"] == {"a": 2}
    codes = {result.code for result in results}
    assert codes == {"answered", "target-refused"}


def test_reboot_interrupts_work(process, target):
    """Guards against a reboot whose interrupted work is not recorded."""
    timer = SystemClock()
    sender = DirectSender([target.address], timer, 2.0)
    profile = _profile(callers=1, work_ms=300.0, measured_s=0.2)
    results = []
    caller = threading.Thread(
        target=lambda: results.extend(
            generate_load(profile, sender, timer, 1, 1)
        )
    )
    caller.start()
    timer.sleep(0.1)
    target.reboot(down_ms=0.0)
    caller.join()

    request, *_ = process.ledger.show()["requests"]
    assert request.interrupted and not request.answered


def _answered(row, code="answered", ran=Ran.YES) -> Result:
    return Result(row=row, code=code, ran=ran, latency_ms=1.0)


@pytest.mark.parametrize(
    "outcome,code,ran,holds",
    [
        ("answered", "answered", Ran.YES, True),
        ("answered", "queue-full", Ran.NO, False),
        ("answered", "wrong-answer", Ran.YES, False),
        ("answered-or-refused", "queue-full", Ran.NO, True),
        ("answered-or-refused", "outcome-unknown", Ran.UNKNOWN, False),
        ("answered-or-late", "answered", Ran.YES, True),
        ("answered-or-late", "deadline-passed", Ran.NO, True),
        ("answered-or-late", "wrong-answer", Ran.YES, False),
        ("answered-or-late", "status-500", Ran.YES, False),
        ("refused:key-invalid", "key-invalid", Ran.NO, True),
        ("refused:key-invalid", "key-missing", Ran.NO, False),
        ("refused:key-invalid", "answered", Ran.YES, False),
        ("refused:key-invalid", "key-invalid", Ran.UNKNOWN, False),
    ],
)
def test_expected_outcome(outcome, code, ran, holds):
    """Guards against results that hold although the outcome differs."""
    assert _answered(_row(outcome=outcome), code, ran).holds() is holds


@pytest.mark.parametrize("latency_ms,holds", [(800.0, False), (900.5, True)])
def test_unknown_outcome_before_the_deadline(latency_ms, holds):
    """Guards against passing a connection that was closed too early."""
    row = _row(outcome="answered-or-late", deadline_ms=900)
    result = _answered(row, "target-timeout", Ran.UNKNOWN)

    assert attrs.evolve(result, latency_ms=latency_ms).holds() is holds


def test_exit_status(tmp_path, target, capsys):
    """Guards against exit status 0 when an expected outcome did not occur."""
    held = _write(tmp_path, _row(), _row(request_id="r-2"))
    assert replay(direct=target.address, trace=held) == 0

    broken = _write(tmp_path, _row(outcome="refused:key-invalid"))
    assert replay(direct=target.address, trace=broken) == 1

    assert "stated outcomes held: 0 of 1" in capsys.readouterr().out


@pytest.mark.parametrize(
    "settings",
    [
        {"trace": "t"},
        {"entries": "127.0.0.1:1", "direct": "127.0.0.1:2", "trace": "t"},
        {"entries": "127.0.0.1:1"},
        {"entries": "127.0.0.1:1", "trace": "missing.jsonl"},
        {"entries": "127.0.0.1:1", "load": "missing.json"},
    ],
)
def test_bad_settings(settings):
    """Guards against a traceback in place of a settings error."""
    with pytest.raises(SettingsError):
        replay(**settings)


def test_unknown_outcome_is_refused(tmp_path):
    """Guards against misspelt or incomplete outcomes in a trace."""
    for outcome in ("anwsered", "refused:", "answered-or-late"):
        with pytest.raises(SettingsError):
            load_trace(_write(tmp_path, _row(outcome=outcome)))


def test_report_width():
    """Guards against report lines that are wider than a phone screen."""
    rows = [
        _row(request_id="r" * 60, queue="q" * 50, team="t" * 50)
        for _ in range(12)
    ]
    results = [
        attrs.evolve(_answered(row), latency_ms=99_999.0) for row in rows
    ] + [_answered(row, "code-" * 10, Ran.NO) for row in rows]
    profile = _profile(callers=1)
    summary = summarize_load(profile, results[:0])

    for text in (format_trace(results), format_load(summary, results)):
        assert max(map(len, text.splitlines())) <= MAX_COLUMNS


def _profile(measured_s=0.2, **fields) -> LoadProfile:
    fields = {"queue": "orders", "team": "a", "share": 1.0, **fields}
    load = LoadClass(service="orders", **{"work_ms": 5.0, **fields})
    return LoadProfile(classes=(load,), warm_up_s=0.0, measured_s=measured_s)


@pytest.mark.parametrize("loop", [{"callers": 2}, {"rate_per_s": 50.0}])
def test_load_is_repeatable(target, loop):
    """Guards against load that differs between runs with the same seed."""
    profile = _profile(spread=0.5, **loop)
    sent = []
    for _ in range(2):
        target.process.ledger.clear()
        sender = DirectSender([target.address], SystemClock(), 1.0)
        results = generate_load(profile, sender, SystemClock(), 7, 1)
        sent.append({r.row.request_id: r.row.work_ms for r in results})

    common = sent[0].keys() & sent[1].keys()
    assert common
    assert all(sent[0][each] == sent[1][each] for each in common)


def test_load_figures(target, tmp_path, capsys):
    """Guards against figures of load that omit requests or their worth."""
    path = tmp_path / "load.json"
    path.write_bytes(msgspec.json.encode(_profile(callers=2, worth=3.0)))
    figures = tmp_path / "figures.json"

    status = replay(
        direct=target.address, load=str(path), results=str(figures)
    )

    found = msgspec.json.decode(figures.read_bytes())
    assert status == 0
    assert found["worth_per_s"] == pytest.approx(found["answered_per_s"] * 3)
    assert found["pools"]["orders"]["worst_distance"] == pytest.approx(0)
    assert found["latency"]["count"] == found["codes"]["answered"]


@pytest.mark.parametrize(
    "demands,fair",
    [
        ({"a": 100, "b": 100, "c": 100}, {"a": 6, "b": 3, "c": 3}),
        ({"a": 100, "b": 1, "c": 100}, {"a": 22 / 3, "b": 1, "c": 11 / 3}),
        ({"a": 1, "b": 1, "c": 1}, {"a": 1, "b": 1, "c": 1}),
        ({"a": 0, "b": 100, "c": 2}, {"a": 0, "b": 10, "c": 2}),
    ],
)
def test_max_min(demands, fair):
    """Guards against a wrong reference division by weighted max-min."""
    found = max_min(12.0, {"a": 2.0, "b": 1.0, "c": 1.0}, demands)

    assert found == pytest.approx(fair)


def test_max_min_gives_all_and_no_more():
    """Guards against a division that loses or creates worth."""
    rng = random.Random(3)
    for _ in range(200):
        teams = [f"t{n}" for n in range(rng.randint(1, 7))]
        shares = {team: rng.uniform(0.1, 5.0) for team in teams}
        demands = {team: rng.uniform(0.0, 9.0) for team in teams}
        total = rng.uniform(0.0, 30.0)

        given = max_min(total, shares, demands)

        expected = min(total, sum(demands.values()))
        assert sum(given.values()) == pytest.approx(expected)
        assert all(given[t] <= demands[t] + 1e-9 for t in teams)
        levels = [
            given[t] / shares[t] for t in teams if given[t] < demands[t] - 1e-9
        ]
        assert not levels or max(levels) - min(levels) < 1e-9


def test_demand_of_open_loops_is_what_arrived():
    """Guards against counting a lack of arrivals as distance from a share."""
    callers = _profile(callers=100, work_ms=10.0).classes
    arrivals = _profile(team="b", rate_per_s=1000.0).classes
    profile = attrs.evolve(
        _profile(), classes=callers + arrivals, measured_s=1.0
    )
    served = [_answered(_row(request_id=f"a-{n}")) for n in range(30)]
    served += [_answered(_row(team="b", offset_ms=1.0)) for n in range(10)]

    pool = summarize_load(profile, served).pools["orders"]

    assert pool.fair == pytest.approx({"a": 30.0, "b": 10.0})
    assert pool.worst_distance == pytest.approx(0.0)


def test_distance():
    """Guards against a mean that hides a team without service."""
    found = distance(
        {"a": 8.0, "b": 0.0}, {"a": 1.0, "b": 1.0}, {"a": 9.0, "b": 9.0}
    )

    assert (found.mean, found.worst) == (1.0, 1.0)


class _Jobs:
    """Client that accepts a job and then reports its states in order."""

    def __init__(self, *states, result="r-1", refusal=None):
        self.remaining_states = list(states)
        self.result = result
        self.refusal = refusal
        self.calls = []

    def call(self, method, segments, **fields):
        self.calls.append((method, segments[2:]))
        body = {"job_id": "a1"}
        if self.refusal:
            headers = {"Rosemarynotch-Ran": "no"}
            body = msgspec.json.encode({"code": self.refusal})
            return Reply(422, headers, body)
        if method == "GET":
            body |= {"queue": "q", "attempt": 1, "result": self.result}
            body["state"] = self.remaining_states.pop(0)
        return Reply(200, {}, msgspec.json.encode(body))


def _run_job(jobs, **work) -> Result:
    sender = JobSender(["127.0.0.1:1"], ManualClock(), 1.0, {})
    sender._client = lambda row: jobs
    return sender.send(_row(outcome="ended:done", job=JobWork(**work)))


@pytest.mark.parametrize(
    "jobs,code,holds",
    [
        (_Jobs("queued", "running", "done"), "ended:done", True),
        (_Jobs("done", result="r-2"), "wrong-answer", False),
        (_Jobs("failed"), "ended:failed", False),
        (_Jobs("unknown"), "ended:unknown", False),
        (_Jobs(*["running"] * 500), "job-not-ended", False),
        (_Jobs(refusal="job-too-large"), "job-too-large", False),
    ],
)
def test_job_outcomes(jobs, code, holds):
    """Guards against counting a job as done before or without its end."""
    result = _run_job(jobs)

    assert (result.code, result.holds()) == (code, holds)
    assert not jobs.remaining_states or code == "job-not-ended"


def test_expected_ends_of_jobs():
    """Guards against accepting an end of a job other than the expected one."""
    row = _row(outcome="refused:job-too-large", job=JobWork())
    refused = _answered(row, "job-too-large", Ran.NO)
    done = _answered(row, "ended:done")

    assert refused.holds() and not done.holds()
    cancelled = attrs.evolve(row, outcome="ended:cancelled")
    assert _answered(cancelled, "ended:cancelled").holds()
    assert not _answered(cancelled, "job-unknown", Ran.NO).holds()


def test_job_is_cancelled_after_its_time():
    """Guards against a tool that never cancels the job it should cancel."""
    jobs = _Jobs("cancelled")

    assert _run_job(jobs, cancel_ms=500.0).code == "ended:cancelled"
    assert ("POST", ("a1", "cancel")) in jobs.calls


def test_repeated_submission_is_one_job():
    """Guards against a report that counts a repeated submission twice."""
    row = _row(outcome="ended:done", job=JobWork())
    done = attrs.evolve(_answered(row, "ended:done"), job_id="a1")
    refused = _answered(_row(request_id="r-2", job=JobWork()), "x", Ran.NO)

    lines = format_jobs([done, done, refused, _answered(_row())])

    assert lines == ["jobs: 1 done, 1 refused, 0 else"]


@pytest.mark.parametrize("name", sorted(generate.ENVIRONMENTS))
def test_traces_match_their_generator(name):
    """Guards against traces that differ from the output of their generator."""
    rows = generate.generate(name)

    content = (TRACES / f"{name}.jsonl").read_bytes()

    assert content == generate.to_lines(rows)
    assert rows[-1].offset_ms < 30_000


@pytest.mark.parametrize("name", sorted(generate.ENVIRONMENTS))
def test_services_peak_one_after_another(name):
    """Guards against traces without a clear peak for each service."""
    rows = generate.generate(name)
    for service in generate.ENVIRONMENTS[name].services:
        times = [
            row.offset_ms
            for row in rows
            if row.service == service.name and "answered" in row.outcome
        ]
        windows = [0] * 5
        for time_ms in times:
            windows[min(4, int(time_ms // 5000))] += 1
        mean = len(times) / 5
        off_peak = (sum(windows) - max(windows)) / 4
        assert max(windows) >= 4.5 * mean
        assert 0.0 < off_peak <= 0.1 * mean
