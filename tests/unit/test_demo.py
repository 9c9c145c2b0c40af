"""The parts of the demonstration that judge a run."""

from pathlib import Path

import pytest

from demo.checks import check_fleet
from demo.checks import check_requests
from demo.environment import ENTRY_VMS
from demo.environment import prepare
from demo.job_checks import check_jobs
from demo.job_checks import check_limits
from demo.job_checks import describe_job
from demo.job_checks import Drain
from demo.processes import Ports
from demo.processes import StartFailed
from demo.run import ENVIRONMENTS
from demo.run import WAVE
from rosemarynotch._internal.configuration import check_key
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.replay.trace import load_trace
from tests.lib.documents import make_document
from traces import generate

TRACES = Path(generate.__file__).parent


@pytest.fixture(params=ENVIRONMENTS)
def environment(request, tmp_path):
    return prepare(request.param, tmp_path, list(range(20_000, 20_064)), 1)


def test_traces_fit_the_documents(environment):
    """Guards against a trace that names what the document does not have."""
    document = environment.document
    for row in load_trace(str(TRACES / f"{environment.name}.jsonl")):
        assert document.team(row.team) and document.pool(row.service)
        queue = document.queue(row.queue)
        if queue is None:
            assert row.outcome == "refused:queue-unknown"
        else:
            assert queue.pool == row.service
            assert not row.key or not queue.open_to_all


def test_keys_fit_the_documents(environment):
    """Guards against keys that do not work, or work and should not."""
    document = environment.document
    for name, text in environment.keys.items():
        found = check_key(document, f"Bearer {text}")
        if name == "wrong":
            assert found.is_a(failures.KEY_INVALID)
        else:
            assert not isinstance(found, Failure) and found.team == name


def test_entry_vms_are_on_the_list(environment):
    """Guards against entries that do not find their own VM (rule R2)."""
    content = environment.fleet_file.read_text()

    assert all(f'"{vm}"' in content for vm in ENTRY_VMS)


def _told(code, ran, idempotent=False):
    return {
        "request_id": "r",
        "code": code,
        "ran": ran,
        "idempotent": idempotent,
    }


def _ledger(runs, interrupted=False, running=1):
    return {
        "runs_by_id": {"r": runs} if runs else {},
        "requests": [{"interrupted": interrupted}],
        "max_running_by_team": {"harbour": running},
    }


@pytest.mark.parametrize(
    "told,ledger,is_fine",
    [
        ([_told("answered", "yes")], _ledger(1), True),
        ([_told("answered", "yes")], _ledger(2), False),
        ([_told("answered", "yes", idempotent=True)], _ledger(2), True),
        ([_told("answered", "yes")], _ledger(0), False),
        ([_told("queue-full", "no")], _ledger(0), True),
        ([_told("queue-full", "no")], _ledger(1), False),
        ([_told("outcome-unknown", "unknown")], _ledger(1), True),
        (
            [_told("queue-full", "no"), _told("answered", "yes")],
            _ledger(1),
            True,
        ),
        ([_told("answered", "yes")], _ledger(1, interrupted=True), False),
        ([_told("answered", "yes")], _ledger(1, running=10), True),
        ([_told("answered", "yes")], _ledger(1, running=11), False),
    ],
)
def test_requests_are_judged(told, ledger, is_fine):
    """Guards against a demonstration that passes whatever happens."""
    problems = check_requests(told, ledger, make_document())

    assert (not problems) is is_fine


def _events(*steps):
    return [{"kind": kind, "vm": vm} for vm, kind in steps]


def _maintain(vm):
    return [(vm, "drain"), (vm, "reboot-start"), (vm, "reboot-end")]


def test_waves_are_judged(environment):
    """Guards against a wave that breaks a budget or leaves a VM out."""
    document = environment.document
    pools = [document.pool(name) for name in document.wave(WAVE).pools]
    first, *others = [vm.name for pool in pools for vm in pool.vms]
    rest = sum((_maintain(vm) for vm in others), [])

    fine = _events(*_maintain(first), *rest)
    twice = _events(*_maintain(first), *_maintain(first), *rest)
    together = _events((others[0], "drain"), *_maintain(first), *rest)

    assert not check_fleet(fine, document, WAVE)
    assert check_fleet(twice, document, WAVE)
    assert check_fleet(together, document, WAVE)
    assert check_fleet(_events(*rest), document, WAVE)


def _job(code="ended:done", idempotent=False, fail_count=0, job_id="a1"):
    return {
        "request_id": "batch-0",
        "team": "harbour",
        "job": True,
        "job_id": job_id,
        "code": code,
        "idempotent": idempotent,
        "fail_count": fail_count,
        "accepted_ms": 5.0,
        "latency_ms": 900.0,
    }


def _tasks(*states, job_id="a1"):
    """Return tasks of 1 s each, one after the other, by their ends."""
    events = []
    for number, state in enumerate(states):
        task = {"task": f"{job_id}.{number + 1}", "worker": f"w{number}"}
        start = {"kind": "task-start", "at_s": number * 2.0, **task}
        end = {"kind": "task-end", "at_s": number * 2.0 + 1.0, **task}
        events += [start, {**end, "state": state}] if state else [start]
    return events


REFUSED_JOB = _job("job-too-large", job_id="")


@pytest.mark.parametrize(
    "told,events,is_fine",
    [
        ([_job()], _tasks("done"), True),
        ([_job(), _job()], _tasks("done"), True),
        ([_job(), _job(job_id="b2")], _tasks("done"), False),
        ([_job()], [], False),
        ([_job()], _tasks("stopped", "done"), False),
        ([_job()], _tasks("done", "done"), False),
        ([_job(idempotent=True)], _tasks("stopped", "done"), True),
        ([_job(idempotent=True)], _tasks("done", "done"), False),
        ([_job(idempotent=True)], _tasks("lost", "done"), False),
        ([_job(idempotent=True)], _tasks("failed", "done"), False),
        ([_job(idempotent=True)], _tasks(None, "done"), False),
        ([_job(idempotent=True, fail_count=1)], _tasks("done"), False),
        (
            [_job(idempotent=True, fail_count=1)],
            _tasks("failed", "done"),
            True,
        ),
        ([_job("ended:failed", fail_count=1)], _tasks("failed"), True),
        ([_job("ended:cancelled")], _tasks("stopped"), True),
        ([_job("ended:cancelled")], [], True),
        ([_job("ended:cancelled")], _tasks("done"), False),
        ([_job("ended:cancelled")], _tasks(None), False),
        ([_job("job-not-ended")], _tasks("stopped"), False),
        ([REFUSED_JOB], [], True),
        ([REFUSED_JOB], _tasks("done"), False),
    ],
)
def test_jobs_are_judged(told, events, is_fine):
    """Guards against jobs that pass whatever their tasks did."""
    assert (not check_jobs(told, events, [])) is is_fine


@pytest.mark.parametrize(
    "worker,from_s,until_s,is_fine",
    [
        ("w1", 1.0, 3.0, False),
        ("w1", 1.0, 1.9, True),
        ("w1", 2.1, 3.0, True),
        ("w2", 1.0, 3.0, True),
    ],
)
def test_drains_are_judged(worker, from_s, until_s, is_fine):
    """Guards against work that starts on a worker that the wave drains."""
    told = [_job(idempotent=True)]
    drains = [Drain(worker, from_s, until_s)]

    problems = check_jobs(told, _tasks("stopped", "done"), drains)

    assert (not problems) is is_fine


@pytest.mark.parametrize("requests,is_fine", [(9, True), (10, False)])
def test_limits_count_requests_and_jobs_together(requests, is_fine):
    """Guards against a limit that holds for each of the two alone only."""
    row = {"team": "harbour", "start_s": 0.5, "end_s": 0.8}
    rows = [row] * requests + [{**row, "start_s": 1.0, "end_s": 2.0}]

    problems = check_limits([_job()], rows, _tasks("done"), make_document())

    assert (not problems) is is_fine


def test_the_way_of_a_job_is_told():
    """Guards against a report that leaves out the worker or the answer."""
    text = "\n".join(describe_job([REFUSED_JOB, _job()], _tasks("done")))

    for part in ("batch-0", "a1", "started on w0", "done on w0", "ended:done"):
        assert part in text


def test_a_port_is_given_out_once():
    """Guards against two servers of one run that get the same port.

    Nothing listens on the first port yet when the second is asked for.
    """
    ports = Ports(range(20_000, 20_032))
    taken = []
    with pytest.raises(StartFailed):
        while True:
            taken.append(ports.take_free())
    assert taken and len(taken) == len(set(taken))
