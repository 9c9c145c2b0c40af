"""Tests of concurrent changes of operators through several entries."""

from collections import Counter
import concurrent.futures
import threading
import time
import uuid

import attrs

from rosemarynotch._internal.commands.exits import CommandError
from rosemarynotch._internal.commands.exits import Exit
from rosemarynotch._internal.configuration import document_digest
from rosemarynotch._internal.exceptions import VERSION_CHANGED
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.records import ConfigPointer
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.operators.changes import ConfigChanges
from rosemarynotch._internal.reference.records import CONFIG_KEY
from rosemarynotch._internal.utils.clock import SystemClock
from tests.lib.cluster import Cluster
from tests.lib.cluster import wait_until
from tests.lib.documents import to_toml
from tests.lib.judging import start_wave

CHANGES = 6
FIRST_LIMIT = 10
# Long enough for concurrent drains by the wave or the other operator.
DRAIN_DURATION_S = 0.1
# Few, since drains of operators delay the wave.
DRAIN_ROUNDS = 4


def change(session, cluster, operator, path, **fields):
    """Send a change and return its id and its outcome.

    If the outcome is unknown, the change id is looked up until the store
    answers. A change that is not found then counts as refused.

    :returns: the change id, and the response or the code of the refusal
    """
    change_id = uuid.uuid4().hex
    identity = {"change_id": change_id, "operator": operator, "reason": "test"}
    try:
        return change_id, session.post(path, identity | fields)
    except CommandError as error:
        if error.exit is not Exit.UNKNOWN:
            return change_id, error.code
    return change_id, wait_until(
        lambda: look_up(session, change_id), "the store answers"
    )


def look_up(session, change_id):
    """Look up a change.

    :returns: the response, the code of its refusal, or None if the store
        does not answer
    """
    try:
        answer = session.get(f"/v1/config/changes/{change_id}")
    except CommandError as error:
        return error.code if error.code == "store-key-missing" else None
    return answer | {"was_unknown": True}


def change_limits(cluster, operator, entry, team, has_read):
    """Change the limit of a team until :data:`CHANGES` are accepted.

    :param has_read: barrier that makes the first changes conflict
    :returns: the reported outcomes, by change id
    """
    session = cluster.session(operator, entry)
    changes = ConfigChanges(cluster.records, SystemClock(), "test")
    outcomes = {}
    number = 0
    while number < CHANGES:
        current = changes.pointer().current
        if not outcomes:
            has_read.wait()
        document = changes.document(current.digest)
        teams = tuple(
            (
                attrs.evolve(each, limit_requests=FIRST_LIMIT + number)
                if each.name == team
                else each
            )
            for each in document.teams
        )
        document = attrs.evolve(document, teams=teams)
        digest = document_digest(codec.encode(document))
        trial = {
            "digest": digest,
            "operator": operator,
            "reason": "test",
            "tried_at_s": 0.0,
            "environment": "test",
        }
        change_id, answer = change(
            session,
            cluster,
            operator,
            "/v1/config/promote",
            expected_version=current.version,
            document=to_toml(document),
            digest=digest,
            trial=trial,
            confirmed=True,
        )
        outcomes[change_id] = answer
        number += isinstance(answer, dict)
    return outcomes


def withdraw(cluster, operator, entry, team):
    """Withdraw the key of a team, and retry until that is accepted.

    :returns: the reported outcomes, by change id
    """
    session = cluster.session(operator, entry)
    outcomes = {}

    def attempt():
        change_id, answer = change(
            session,
            cluster,
            operator,
            "/v1/keys/withdraw",
            team=team,
            key_id="k1",
        )
        outcomes[change_id] = answer
        return isinstance(answer, dict)

    wait_until(attempt, "the key is withdrawn")
    return outcomes


def check_history(cluster, written, outcomes):
    """Check the reported outcomes against the versions in the store.

    :param written: the numbers of versions in the order of their writes
    :param outcomes: the reported outcomes, by change id
    :returns: the newest version and its document
    """
    pointer = cluster.records.read(CONFIG_KEY, ConfigPointer).value
    versions = [pointer.current, *pointer.history][::-1]
    numbers = [each.version for each in versions]
    assert numbers == list(range(1, len(numbers) + 1)), "gaps"
    assert written == numbers[1:], "a version was written twice"
    by_change = {each.change_id: each.version for each in versions[1:]}
    accepted = {
        change_id: answer["version"]
        for change_id, answer in outcomes.items()
        if isinstance(answer, dict)
    }
    assert by_change == accepted, "a reported outcome is wrong"
    changes = ConfigChanges(cluster.records, SystemClock(), "test")
    documents = [changes.document(each.digest) for each in versions]
    for before, after in zip(documents, documents[1:], strict=False):
        differ = sum(
            old != new
            for old, new in zip(before.teams, after.teams, strict=True)
        )
        assert differ == 1, "a change of another operator was undone"
    return pointer.current, documents[-1]


def test_operators_at_once():
    """Guards against lost, duplicate and reverted changes of operators.

    Two operators change limits through two entries and a third withdraws a
    key, while answers of the store are lost and its connection is cut.
    """
    with Cluster({"bank": 5, "fund": 5, "saver": 5}) as cluster:
        written = cluster.disturb_config()
        has_read = threading.Barrier(2)
        limits = (
            (cluster, "anna", "entry-1", "bank", has_read),
            (cluster, "bert", "entry-2", "fund", has_read),
        )
        with concurrent.futures.ThreadPoolExecutor(3) as pool:
            futures = [pool.submit(change_limits, *each) for each in limits]
            futures.append(
                pool.submit(withdraw, cluster, "cleo", "entry-3", "saver")
            )
            outcomes = {}
            for future in futures:
                outcomes |= future.result()
        cluster.cut_store(is_cut=False)
        current, document = check_history(cluster, written, outcomes)
        assert document.team("saver").keys == (), "the key is in force again"
        for name in cluster.names:
            session = cluster.session("anna", name)
            shown = wait_until(
                lambda session=session: in_force(session),
                f"{name} shows the newest version as in force on all members",
            )
            assert shown["version"] == current.version
            assert shown["digest"] == current.digest
            assert cluster.send(name, "saver").ran == "no"
            assert cluster.send(name, "bank").is_answered
        answers = list(outcomes.values())
        assert VERSION_CHANGED.code in answers, "no conflict"
        unknown = [
            each
            for each in answers
            if isinstance(each, dict) and "was_unknown" in each
        ]
        assert unknown, "no outcome was reported as unknown"


def drain_and_undrain(cluster, operator, entry):
    """Drain each VM in turn and return it to service soon after.

    :returns: counts of accepted drains and of refused ones by code
    """
    session = cluster.session(operator, entry)
    names = [vm.name for vm in cluster.document.pools[0].vms]
    counts = Counter()
    for name in names * DRAIN_ROUNDS:
        path = f"/v1/vms/{name}/drain"
        _, answer = change(session, cluster, operator, path)
        if isinstance(answer, dict):
            counts["accepted"] += 1
            time.sleep(DRAIN_DURATION_S)
            change(session, cluster, operator, f"/v1/vms/{name}/undrain")
        else:
            counts[answer] += 1
    return counts


def test_greedy_wave_and_operators_drain_at_once():
    """Guards against budgets that rely on the restraint of the wave policy.

    Two control processes run a wave whose policy requests all VMs, while two
    operators drain VMs. The budget spares two VMs, and three share a rack.
    """
    racks = ("r0", "r0", "r0", "r1")
    with Cluster(
        {"bank": 12},
        controls=2,
        racks=racks,
        spare_vms=2,
        control="tests.lib.greedy_control",
    ) as cluster:
        rack_of = dict(
            zip([vm.name for vm in cluster.document.pools[0].vms], racks)
        )
        records = cluster.watch_fleet()
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            futures = [
                pool.submit(drain_and_undrain, cluster, *each)
                for each in (("anna", "entry-1"), ("bert", "entry-2"))
            ]
            start_wave(cluster)
            counts = sum((each.result() for each in futures), Counter())
        events = cluster.platform.ledger.events
        wait_until(
            lambda: len(events("reboot-end")) >= len(racks),
            "the wave ends",
        )
        rebooted = sorted(each["vm"] for each in events("reboot-start"))
        assert rebooted == sorted(rack_of)
        for record in records:
            unavailable = {
                name
                for name in rack_of
                if record.vms[name].state is not VmState.SERVING
            }
            assert len(unavailable) <= 2, "beyond the budget"
            assert (
                len({rack_of[name] for name in unavailable}) <= 1
            ), "two racks"
        assert counts["accepted"], "no operator drained"
        assert counts["budget-would-break"], "no operator was refused"


def in_force(session):
    """Return the newest version if all members have it in force."""
    shown = session.get("/v1/config")
    return shown if shown["in_force"] == shown["members"] else None
