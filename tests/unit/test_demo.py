"""Tests of the environments and checks of the demonstration."""

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
    """Guards against traces that name teams or pools not in the document."""
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
    """Guards against valid keys that are refused and wrong ones that pass."""
    document = environment.document
    for name, text in environment.keys.items():
        found = check_key(document, f"Bearer {text}")
        if name == "wrong":
            assert found.is_a(failures.KEY_INVALID)
        else:
            assert not isinstance(found, Failure) and found.team == name


def test_entry_vms_are_on_the_list(environment):
    """Guards against a VM list without the VMs of entries (rule R2)."""
    content = environment.fleet_file.read_text()

    assert all(f'"{vm}"' in content for vm in ENTRY_VMS)


def _result(code, ran, idempotent=False):
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
    "results,ledger,passes",
    [
        ([_result("answered", "yes")], _ledger(1), True),
        ([_result("answered", "yes")], _ledger(2), False),
        ([_result("answered", "yes", idempotent=True)], _ledger(2), True),
        ([_result("answered", "yes")], _ledger(0), False),
        ([_result("queue-full", "no")], _ledger(0), True),
        ([_result("queue-full", "no")], _ledger(1), False),
        ([_result("outcome-unknown", "unknown")], _ledger(1), True),
        (
            [_result("queue-full", "no"), _result("answered", "yes")],
            _ledger(1),
            True,
        ),
        ([_result("answered", "yes")], _ledger(1, interrupted=True), False),
        ([_result("answered", "yes")], _ledger(1, running=10), True),
        ([_result("answered", "yes")], _ledger(1, running=11), False),
    ],
)
def test_check_of_requests(results, ledger, passes):
    """Guards against a request check that passes despite a fault."""
    problems = check_requests(results, ledger, make_document())

    assert (not problems) is passes


def _events(*steps):
    return [{"kind": kind, "vm": vm} for vm, kind in steps]


def _maintain(vm):
    return [(vm, "drain"), (vm, "reboot-start"), (vm, "reboot-end")]


def test_check_of_waves(environment):
    """Guards against a wave check that misses a broken budget or a VM."""
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
    """Return events of successive tasks of 1 s that end in these states."""
    events = []
    for number, state in enumerate(states):
        task = {"task": f"{job_id}.{number + 1}", "worker": f"w{number}"}
        start = {"kind": "task-start", "at_s": number * 2.0, **task}
        end = {"kind": "task-end", "at_s": number * 2.0 + 1.0, **task}
        events += [start, {**end, "state": state}] if state else [start]
    return events


REFUSED_JOB = _job("job-too-large", job_id="")


@pytest.mark.parametrize(
    "results,events,passes",
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
def test_check_of_jobs(results, events, passes):
    """Guards against a job check that passes despite a fault of tasks."""
    assert (not check_jobs(results, events, [])) is passes


@pytest.mark.parametrize(
    "worker,from_s,until_s,passes",
    [
        ("w1", 1.0, 3.0, False),
        ("w1", 1.0, 1.9, True),
        ("w1", 2.1, 3.0, True),
        ("w2", 1.0, 3.0, True),
    ],
)
def test_check_of_drains(worker, from_s, until_s, passes):
    """Guards against a check that misses a task started during a drain."""
    results = [_job(idempotent=True)]
    drains = [Drain(worker, from_s, until_s)]

    problems = check_jobs(results, _tasks("stopped", "done"), drains)

    assert (not problems) is passes


@pytest.mark.parametrize("requests,passes", [(9, True), (10, False)])
def test_limits_count_requests_and_jobs_together(requests, passes):
    """Guards against a check of limits that counts only one of the two."""
    row = {"team": "harbour", "start_s": 0.5, "end_s": 0.8}
    rows = [row] * requests + [{**row, "start_s": 1.0, "end_s": 2.0}]

    problems = check_limits([_job()], rows, _tasks("done"), make_document())

    assert (not problems) is passes


def test_description_of_a_job():
    """Guards against a description without the worker or the answer."""
    text = "\n".join(describe_job([REFUSED_JOB, _job()], _tasks("done")))

    for part in ("batch-0", "a1", "started on w0", "done on w0", "ended:done"):
        assert part in text


def test_each_port_is_taken_once():
    """Guards against giving two servers of one run the same port.

    It comes about because the first server does not listen yet when the
    second port is requested.
    """
    ports = Ports(range(20_000, 20_032))
    taken = []
    with pytest.raises(StartFailed):
        while True:
            taken.append(ports.take_free())
    assert taken and len(taken) == len(set(taken))
