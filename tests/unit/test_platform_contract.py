"""Failures that the clients of the platform report under faults.

The rows of each table are (fault, call, expected failure, expected value of
``ran``, expected effect). They guard against a client that reports a lost
answer as a refusal, after which the product would run or reserve something
twice.
"""

import time

import pytest

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.reference import HttpStore
from rosemarynotch._internal.reference import HttpTaskService
from rosemarynotch._internal.reference import HttpVmService
from rosemarynotch._internal.reference.interface import Task
from rosemarynotch._internal.reference.interface import TaskState
from standins import kv
from standins.vms import Vm
from tests.lib.platforms import served_platform
from tests.lib.stores import Fault
from tests.lib.stores import MemoryStore

# Shorter than the delay of a slow answer. TIMEOUT_S is long enough for the
# other calls to end on a busy machine.
SHORT_TIMEOUT_S = 0.2
TIMEOUT_S = 5.0
SLOW_MS = 600
# Limit of the wait for the effect of a slow call.
EFFECT_TIMEOUT_S = 20.0
OLD = b"old"
NEW = b"new"

DOWN = {"store": "down", "services": "down"}
DROP = {"store": "drop", "services": "drop"}
LOST = {"lost_answers": 1, "lost_service_answers": 1}
SLOW = {"store_delay_ms": SLOW_MS, "services_delay_ms": SLOW_MS}
# The stand-in does not listen.
NOT_LISTENING = "gone"

STORE_UNAVAILABLE = failures.STORE_UNAVAILABLE
SERVICE_REFUSED = failures.PLATFORM_REFUSED
SERVICE_UNAVAILABLE = failures.PLATFORM_UNAVAILABLE


@pytest.fixture
def served():
    vms = [Vm(name="a1"), Vm(name="w1", cores=8.0, memory_mb=1000)]
    with served_platform(vms) as running:
        yield running


def _set_fault(served, fault):
    if fault == NOT_LISTENING:
        served.stop()
    else:
        served.platform.faults.change(fault)


def _clear_fault(served, fault):
    if fault == NOT_LISTENING:
        served.start()
    else:
        served.platform.faults.change(
            {"store": "up", "services": "up", "lost_answers": 0}
        )


def _timeout_s(fault) -> float:
    return SHORT_TIMEOUT_S if fault == SLOW else TIMEOUT_S


def _wait_for_effect(fault, has_effect) -> None:
    """Wait for the effect that a slow call has after its time-out."""
    if fault == SLOW:
        time.sleep(SLOW_MS / 1000)
        end_s = time.monotonic() + EFFECT_TIMEOUT_S
        while not has_effect() and time.monotonic() < end_s:
            time.sleep(0.01)


def _check(result, failure, ran):
    if failure is None:
        assert not isinstance(result, Failure), result
    else:
        assert (result.code, result.ran) == (failure.code, ran), result


STORE_CALLS = {
    "get": lambda store, revision: store.get("k"),
    "keys": lambda store, revision: store.keys("k"),
    "watch": lambda store, revision: store.watch("k", 0, 50),
    "put": lambda store, revision: store.put("k", NEW, revision),
    "put-old": lambda store, revision: store.put("k", NEW, revision + 7),
    "create": lambda store, revision: store.put("k", NEW, 0),
    "put-lease": lambda store, revision: store.put(
        "k", NEW, revision, "lease-99"
    ),
    "delete": lambda store, revision: store.delete("k", revision),
    "delete-old": lambda store, revision: store.delete("k", revision + 7),
    "grant": lambda store, revision: store.grant_lease(1000),
    "renew": lambda store, revision: store.renew_lease("lease-99"),
}

NO_FAULT_ROWS = [
    ("get", None, Ran.NO, OLD),
    ("keys", None, Ran.NO, OLD),
    ("watch", None, Ran.NO, OLD),
    ("put", None, Ran.NO, NEW),
    ("put-old", failures.STORE_CONFLICT, Ran.NO, OLD),
    ("create", failures.STORE_CONFLICT, Ran.NO, OLD),
    ("put-lease", failures.LEASE_LOST, Ran.NO, OLD),
    ("delete", None, Ran.NO, None),
    ("delete-old", failures.STORE_CONFLICT, Ran.NO, OLD),
    ("grant", None, Ran.NO, OLD),
    ("renew", failures.LEASE_LOST, Ran.NO, OLD),
]

STORE_FAULT_ROWS = [
    # The answer of the store says that the call had no effect.
    (DOWN, "get", STORE_UNAVAILABLE, Ran.NO, OLD),
    (DOWN, "watch", STORE_UNAVAILABLE, Ran.NO, OLD),
    (DOWN, "put", STORE_UNAVAILABLE, Ran.NO, OLD),
    (DOWN, "delete", STORE_UNAVAILABLE, Ran.NO, OLD),
    (DOWN, "grant", STORE_UNAVAILABLE, Ran.NO, OLD),
    (DOWN, "renew", STORE_UNAVAILABLE, Ran.NO, OLD),
    # No connection can be opened, so nothing is sent.
    (NOT_LISTENING, "get", STORE_UNAVAILABLE, Ran.NO, OLD),
    (NOT_LISTENING, "put", STORE_UNAVAILABLE, Ran.NO, OLD),
    (NOT_LISTENING, "delete", STORE_UNAVAILABLE, Ran.NO, OLD),
    (NOT_LISTENING, "renew", STORE_UNAVAILABLE, Ran.NO, OLD),
    # The connection closes before the call has an effect.
    (DROP, "get", STORE_UNAVAILABLE, Ran.NO, OLD),
    (DROP, "keys", STORE_UNAVAILABLE, Ran.NO, OLD),
    (DROP, "put", STORE_UNAVAILABLE, Ran.UNKNOWN, OLD),
    (DROP, "delete", STORE_UNAVAILABLE, Ran.UNKNOWN, OLD),
    (DROP, "renew", STORE_UNAVAILABLE, Ran.UNKNOWN, OLD),
    # The connection closes after the call has had its effect.
    (LOST, "get", None, Ran.NO, OLD),
    (LOST, "put", STORE_UNAVAILABLE, Ran.UNKNOWN, NEW),
    (LOST, "put-old", failures.STORE_CONFLICT, Ran.NO, OLD),
    (LOST, "delete", STORE_UNAVAILABLE, Ran.UNKNOWN, None),
    (LOST, "grant", STORE_UNAVAILABLE, Ran.UNKNOWN, OLD),
    # The answer arrives after the time-out of the client.
    (SLOW, "get", STORE_UNAVAILABLE, Ran.NO, OLD),
    (SLOW, "put", STORE_UNAVAILABLE, Ran.UNKNOWN, NEW),
    (SLOW, "delete", STORE_UNAVAILABLE, Ran.UNKNOWN, None),
]


def _value(core):
    entry = core.get("k")
    return entry.value if entry else None


@pytest.mark.parametrize("call,failure,ran,value", NO_FAULT_ROWS)
@pytest.mark.parametrize("kind", ["http", "memory"])
def test_store_without_fault(served, kind, call, failure, ran, value):
    """Guards against a MemoryStore whose answers differ from HttpStore."""
    core = served.platform.store
    store = served.client(HttpStore) if kind == "http" else MemoryStore(core)
    revision = store.put("k", OLD, 0)

    _check(STORE_CALLS[call](store, revision), failure, ran)

    assert _value(core) == value


@pytest.mark.parametrize("fault,call,failure,ran,value", STORE_FAULT_ROWS)
@pytest.mark.parametrize("moment", ["new", "kept"])
def test_http_store(served, moment, fault, call, failure, ran, value):
    """Guards against a write that took effect but is reported as not run.

    The client must tell the cases apart on new and on reused connections.
    """
    core = served.platform.store
    store = served.client(HttpStore, timeout_s=_timeout_s(fault))
    revision = core.put("k", OLD, 0)
    if moment == "kept":
        store.get("k")
    _set_fault(served, fault)

    _check(STORE_CALLS[call](store, revision), failure, ran)

    _wait_for_effect(fault, lambda: _value(core) == value)
    assert _value(core) == value


# Only these rows apply: a MemoryStore has neither connections nor time-outs,
# and its LOST_ANSWER fault also loses the answers to reads and refusals.
MEMORY_ROWS = [
    (Fault.DOWN if row[0] == DOWN else Fault.LOST_ANSWER, *row[1:])
    for row in STORE_FAULT_ROWS
    if row[0] == DOWN or (row[0] == LOST and row[3] is Ran.UNKNOWN)
]


@pytest.mark.parametrize("fault,call,failure,ran,value", MEMORY_ROWS)
def test_memory_store(fault, call, failure, ran, value):
    """Guards against a MemoryStore whose failures differ from HttpStore."""
    core = kv.KeyValue()
    store = MemoryStore(core)
    revision = core.put("k", OLD, 0)
    store.fault = fault

    _check(STORE_CALLS[call](store, revision), failure, ran)

    assert _value(core) == value


@pytest.mark.parametrize("fault", [NOT_LISTENING, DROP, LOST])
def test_store_works_again(served, fault):
    """Guards against broken connections that remain in use."""
    store = served.client(HttpStore, timeout_s=TIMEOUT_S)
    store.put("k", OLD, 0)
    _set_fault(served, fault)
    store.put("k", NEW, 1)
    _clear_fault(served, fault)

    found = store.get("k")
    written = store.put("k", b"newest", found.revision)

    assert written == found.revision + 1


def test_write_after_restart_uses_a_new_connection(served):
    """Guards against "unknown" after the peer closed an idle connection."""
    store = served.client(HttpStore)
    store.put("k", OLD, 0)
    served.stop()
    served.start()

    assert store.put("k", NEW, 1) == 2


def test_watch_sees_a_change(served):
    """Guards against a watch that returns the value already known."""
    core = served.platform.store
    store = served.client(HttpStore)
    first = core.put("k", OLD, 0)
    assert store.watch("k", first, 20).is_a(failures.STORE_UNCHANGED)
    second = core.put("k", NEW, first)

    found = store.watch("k", first, 1000)

    assert (found.value, found.revision) == (NEW, second)


def test_keys_with_special_characters(served):
    """Guards against keys that are altered by the encoding of the URL."""
    store = served.client(HttpStore)
    key = "limits/team a%2F?&=#é"
    store.put(key, OLD, 0)

    assert [each.key for each in store.keys("limits/")] == [key]
    assert store.get(key).value == OLD


VM_CALLS = {
    "vms": lambda vms: vms.vms(),
    "drain": lambda vms: vms.drain("a1", "o1"),
    "reboot": lambda vms: vms.reboot("a1", "o1"),
    "reboot-missing": lambda vms: vms.reboot("a9", "o1"),
}

VM_ROWS = [
    ({}, "vms", None, Ran.NO, 0),
    ({}, "reboot", None, Ran.NO, 1),
    ({}, "reboot-missing", SERVICE_REFUSED, Ran.NO, 0),
    (DOWN, "vms", SERVICE_UNAVAILABLE, Ran.NO, 0),
    (DOWN, "drain", SERVICE_UNAVAILABLE, Ran.NO, 0),
    (DOWN, "reboot", SERVICE_UNAVAILABLE, Ran.NO, 0),
    (NOT_LISTENING, "reboot", SERVICE_UNAVAILABLE, Ran.NO, 0),
    (DROP, "vms", SERVICE_UNAVAILABLE, Ran.NO, 0),
    (DROP, "reboot", SERVICE_UNAVAILABLE, Ran.UNKNOWN, 0),
    (LOST, "vms", None, Ran.NO, 0),
    (LOST, "drain", SERVICE_UNAVAILABLE, Ran.UNKNOWN, 0),
    (LOST, "reboot", SERVICE_UNAVAILABLE, Ran.UNKNOWN, 1),
    (SLOW, "reboot", SERVICE_UNAVAILABLE, Ran.UNKNOWN, 1),
]


@pytest.mark.parametrize("fault,call,failure,ran,reboots", VM_ROWS)
def test_http_vms(served, fault, call, failure, ran, reboots):
    """Guards against a reboot that is repeated or reported as not run."""
    vms = served.client(HttpVmService, timeout_s=_timeout_s(fault))
    _set_fault(served, fault)

    _check(VM_CALLS[call](vms), failure, ran)

    ledger = served.platform.ledger
    _wait_for_effect(
        fault, lambda: len(ledger.events("reboot-start")) == reboots
    )
    events = served.platform.ledger.events("reboot-start")
    assert len(events) == reboots
    if fault == LOST:
        assert VM_CALLS[call](vms) is None or call == "vms"
        assert len(served.platform.ledger.events("reboot-start")) == reboots


@pytest.mark.parametrize(
    "seen,names", [("live", 3), ("stale", 2), ("empty", 0)]
)
def test_vm_list_faults(served, seen, names):
    """Guards against a stand-in that ignores faults of the VM list."""
    served.platform.vms.freeze()
    served.platform.vms.add(Vm(name="a2"))
    served.platform.faults.change({"vm_list": seen})

    assert len(served.client(HttpVmService).vms()) == names


def _task(task_id="j.1", **fields):
    fields = {"worker": "w1", "cores": 2.0, "memory_mb": 10, **fields}
    return Task(task_id=task_id, **fields)


TASK_CALLS = {
    "tasks": lambda tasks: tasks.tasks(),
    "start": lambda tasks: tasks.start(_task(), 60_000),
    "start-large": lambda tasks: tasks.start(_task(cores=9.0), 60_000),
    "start-lost": lambda tasks: tasks.start(_task(worker="w9"), 60_000),
    "renew": lambda tasks: tasks.renew(["j.1"], 60_000),
    "stop-missing": lambda tasks: tasks.stop("j.9"),
}

TASK_ROWS = [
    ({}, "start", None, Ran.NO, 1),
    ({}, "start-large", SERVICE_REFUSED, Ran.NO, 0),
    ({}, "start-lost", SERVICE_REFUSED, Ran.NO, 0),
    ({}, "stop-missing", SERVICE_REFUSED, Ran.NO, 0),
    ({}, "renew", None, Ran.NO, 0),
    (DOWN, "tasks", SERVICE_UNAVAILABLE, Ran.NO, 0),
    (DOWN, "start", SERVICE_UNAVAILABLE, Ran.NO, 0),
    (NOT_LISTENING, "start", SERVICE_UNAVAILABLE, Ran.NO, 0),
    (DROP, "start", SERVICE_UNAVAILABLE, Ran.UNKNOWN, 0),
    (LOST, "start", SERVICE_UNAVAILABLE, Ran.UNKNOWN, 1),
    (LOST, "start-large", SERVICE_REFUSED, Ran.NO, 0),
    (LOST, "renew", None, Ran.NO, 0),
    (SLOW, "start", SERVICE_UNAVAILABLE, Ran.UNKNOWN, 1),
]


@pytest.mark.parametrize("fault,call,failure,ran,starts", TASK_ROWS)
def test_http_tasks(served, fault, call, failure, ran, starts):
    """Guards against a task that runs although it was reported as not run."""
    tasks = served.client(HttpTaskService, timeout_s=_timeout_s(fault))
    _set_fault(served, fault)

    _check(TASK_CALLS[call](tasks), failure, ran)

    ledger = served.platform.ledger
    _wait_for_effect(fault, lambda: len(ledger.events("task-start")) == starts)
    assert len(served.platform.ledger.events("task-start")) == starts


def test_task_starts_once(served):
    """Guards against a second run of a task after a lost answer."""
    tasks = served.client(HttpTaskService)
    _set_fault(served, LOST)
    assert tasks.start(_task(), 60_000).ran is Ran.UNKNOWN

    assert tasks.start(_task(), 60_000) is None

    assert len(served.platform.ledger.events("task-start")) == 1


@pytest.mark.parametrize(
    "payload,lease_ms,state",
    [
        ('{"run_ms": 1, "result": "r"}', 60_000, TaskState.DONE),
        ('{"run_ms": 1, "fail": "r"}', 60_000, TaskState.FAILED),
        ('{"run_ms": 60000}', 1, TaskState.LOST),
        ('{"run_ms": 60000}', 60_000, TaskState.RUNNING),
    ],
)
def test_task_ends(served, payload, lease_ms, state):
    """Guards against different ends of a task in ledger and task list."""
    tasks = served.client(HttpTaskService)
    tasks.start(_task(payload=payload), lease_ms)
    time.sleep(0.05)

    (task,) = tasks.tasks()

    assert task.state is state
    ends = served.platform.ledger.events("task-end")
    assert [end["state"] for end in ends] == (
        [] if state is TaskState.RUNNING else [state]
    )
