"""The parts of the demonstration that judge a run."""

from pathlib import Path

import pytest

from demo.checks import check_fleet
from demo.checks import check_requests
from demo.environment import ENTRY_VMS
from demo.environment import prepare
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
