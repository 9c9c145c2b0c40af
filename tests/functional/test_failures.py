"""Guarantees under failures of real processes, checked against ledgers.

Each row of ``ROWS`` sends requests, injects a fault while they run, and
checks the outcomes that callers saw against the requests that ran on the
targets.
"""

import json
import signal
import time

import attrs
import pytest

from rosemarynotch._internal.configuration.freshness import STALE_AFTER_S
from rosemarynotch._internal.control.leadership import LEADER_KEY
from rosemarynotch._internal.control.leadership import LeaderRecord
from rosemarynotch._internal.models.records import VmState
from standins.target_state import Fault
from standins.target_state import FaultKind
from tests.lib.cluster import Cluster
from tests.lib.cluster import wait_until
from tests.lib.judging import check
from tests.lib.judging import LIMITS
from tests.lib.judging import mixed
from tests.lib.judging import restart
from tests.lib.judging import Row
from tests.lib.judging import run_row
from tests.lib.judging import serves
from tests.lib.judging import start_wave

PAUSE_S = 4.0
# Longer than the time without contact with the store after which an entry may
# refuse requests (rule R6).
STALE_S = 11.0
# Time within which a heartbeat of each of three entries arrives.
HEARTBEATS_S = 2.0


def restart_entry_with_lost_answers(cluster):
    """Restart an entry while answers to writes of portions are lost."""
    cluster.lose_answers(*cluster.names, store=20)
    restart(cluster, "entry-2")


def pause_entry(cluster):
    """Suspend an entry for longer than all time-outs of its peers."""
    cluster.signal("entry-3", signal.SIGSTOP)
    time.sleep(PAUSE_S)
    cluster.signal("entry-3", signal.SIGCONT)


def pause_entry_until_reclaimed(cluster):
    """Suspend an entry until its portions are reclaimed.

    It is cut off from the store when it resumes.
    """
    cluster.signal("entry-3", signal.SIGSTOP)
    cluster.platform.vms.remove("vm-entry-3")
    for team in LIMITS:
        wait_until(
            lambda team=team: "entry-3" not in cluster.holders(team),
            f"the portion of {team} is reclaimed",
        )
    cluster.cut_store("entry-3")
    cluster.signal("entry-3", signal.SIGCONT)
    time.sleep(PAUSE_S)
    cluster.cut_store("entry-3", is_cut=False)


def stop_entry(cluster):
    """Stop an entry gracefully."""
    cluster.signal("entry-1", signal.SIGTERM)
    assert cluster.wait("entry-1") == 0


def check_serving_and_end_outage(cluster):
    """Check that entries serve without the store, then end the outage.

    entry-2 hears entry-1 for the last time when that is killed. Once that is
    too long ago, it hears only one of two others and has to refuse (rule R6).
    """
    for _ in range(20):
        outcome = cluster.send("entry-2", "bank")
        silent_s = time.monotonic() - cluster.signalled_at_s["entry-1"]
        if silent_s < STALE_AFTER_S - HEARTBEATS_S or outcome.status == 200:
            assert outcome.is_answered
        else:
            assert outcome.code == "configuration-stale"
            assert outcome.ran == "no"
    cluster.cut_store(is_cut=False)
    serves(cluster, "entry-1")


def change_document(cluster):
    """Lower a limit, remove a team and withdraw a key in one change."""
    bank, _, saver = cluster.document.teams
    teams = (
        attrs.evolve(bank, limit_requests=3),
        attrs.evolve(saver, keys=()),
    )
    cluster.apply(attrs.evolve(cluster.document, teams=teams))


def check_changed_document(cluster):
    """Check that every entry follows the changed document."""
    for name in cluster.names:
        for team in ("fund", "saver"):
            wait_until(
                lambda n=name, t=team: cluster.send(n, t).status in (401, 403),
                f"{name} refuses {team}",
            )
    cluster.targets.ledger.clear()
    with cluster.load(mixed(cluster.names, ["bank"], 40, 100)) as outcomes:
        pass
    check(cluster, outcomes, {"bank": 3, "fund": 0, "saver": 0})


def remove_pool(cluster):
    """Remove the pool and its queue while requests run in it."""
    cluster.apply(
        attrs.evolve(cluster.document, pools=(), queues=(), waves=())
    )


def check_removed_pool(cluster):
    """Check that no VM of the removed pool serves and requests are refused."""
    wait_until(
        lambda: all(
            vm.state is not VmState.SERVING
            for vm in cluster.fleet().vms.values()
        ),
        "no VM of the removed pool serves",
    )
    assert cluster.send("entry-1", "bank").ran == "no"


def check_leaving_vm(cluster):
    """Check that a leaving VM soon gets no new work."""
    address = cluster.platform.vms.vm("target-0").address

    def is_avoided():
        cluster.targets.ledger.clear()
        requests = mixed(cluster.names, list(LIMITS), 24, 20)
        with cluster.load(requests) as outcomes:
            pass
        assert all(each.is_answered for each in outcomes)
        return not cluster.targets.ledger.show(address)["requests"]

    wait_until(is_avoided, "no request goes to the leaving VM")
    assert is_avoided() and is_avoided()


def restart_entry_with_slow_store(cluster):
    """Restart an entry while each store call is delayed."""
    cluster.platform.faults.change({"store_delay_ms": 300})
    restart(cluster, "entry-2")


def fault_of_targets(kind, count, **fields):
    """Return a function that injects a fault into the first targets."""

    def inject(cluster):
        for target in list(cluster.targets.targets.values())[:count]:
            target.set_fault(Fault(kind=kind, **fields))

    return inject


ROWS = {
    "entry-killed": Row(
        during=lambda cluster: restart(cluster, "entry-2"),
        after=lambda cluster: serves(cluster, "entry-2"),
    ),
    "entry-killed-and-answers-lost": Row(
        during=restart_entry_with_lost_answers,
        after=lambda cluster: serves(cluster, "entry-2"),
    ),
    "entry-killed-and-store-slow": Row(
        during=restart_entry_with_slow_store,
        after=lambda cluster: serves(cluster, "entry-2"),
    ),
    "vm-leaving": Row(
        during=lambda cluster: cluster.platform.vms.leaving("target-0"),
        after=check_leaving_vm,
        is_graceful=True,
    ),
    "entry-paused": Row(during=pause_entry, count=150),
    "entry-paused-until-reclaimed-and-store-cut": Row(
        during=pause_entry_until_reclaimed, count=300
    ),
    "entry-stopped": Row(
        during=stop_entry, limits={"bank": 12}, workers=24, is_graceful=True
    ),
    "store-down-and-entry-restarted": Row(
        before=lambda cluster: cluster.cut_store(),
        during=lambda cluster: restart(cluster, "entry-1"),
        after=check_serving_and_end_outage,
        limits={"bank": 6},
        work_ms=50,
    ),
    "limit-lowered-team-removed-key-withdrawn": Row(
        during=change_document,
        after=check_changed_document,
        limits={"bank": 10, "fund": 4, "saver": 4},
        is_graceful=True,
    ),
    "pool-removed": Row(
        during=remove_pool, after=check_removed_pool, is_graceful=True
    ),
    "answers-late": Row(
        during=fault_of_targets(FaultKind.LATE, 3, late_ms=4_000, remaining=2),
        after=lambda cluster: serves(cluster, "entry-1"),
    ),
    "answers-cut-short": Row(
        during=fault_of_targets(FaultKind.TRUNCATE, 1, remaining=6),
        limits={"bank": 12},
        methods=("POST", "GET"),
    ),
    "target-fails-everything": Row(
        during=fault_of_targets(FaultKind.FAIL, 1),
        limits={"bank": 12},
        count=300,
        work_ms=50,
        failed_count=100,
    ),
    "connections-silent": Row(
        during=fault_of_targets(FaultKind.SILENT, 1),
        limits={"bank": 12},
        count=200,
        methods=("POST", "GET"),
    ),
}


@pytest.mark.parametrize("row", ROWS.values(), ids=ROWS)
def test_fault(row):
    """Guards against broken guarantees while processes and services fail.

    No POST may run twice, no request may run after a refusal, limits hold,
    and each answer belongs to its request.
    """
    run_row(row)


def test_withdrawn_key():
    """Guards against an entry cut off from the store that accepts old keys."""
    with Cluster({"bank": 6, "fund": 6}) as cluster:
        cluster.cut_store("entry-3")
        teams = tuple(
            attrs.evolve(team, keys=()) if team.name == "bank" else team
            for team in cluster.document.teams
        )
        cluster.apply(attrs.evolve(cluster.document, teams=teams))
        for name in cluster.names:
            wait_until(
                lambda name=name: cluster.send(name, "bank").status == 401,
                f"{name} refuses the key",
            )
            assert cluster.send(name, "fund").is_answered
        cluster.targets.ledger.clear()
        for name in cluster.names:
            assert cluster.send(name, "bank").ran == "no"
        assert cluster.runs() == {}


def test_cuts():
    """Guards against a wrong staleness verdict when some connections fail.

    An entry must serve, with the current document, while it has contact with
    the store or with a peer, and refuse requests without either. entry-1
    reaches its peers but not the store; the others cannot reach entry-3,
    which reaches them and the store.
    """
    limits = {"bank": 6, "fund": 6}
    with Cluster(limits) as cluster:
        cluster.cut_store("entry-1")
        cluster.publish_refusing_peer_address("entry-3")
        time.sleep(STALE_S)
        requests = mixed(cluster.names, list(limits), 90, 20)
        with cluster.load(requests) as outcomes:
            pass
        check(cluster, outcomes, limits)
        assert all(each.is_answered for each in outcomes)
        bank, fund = cluster.document.teams
        teams = (attrs.evolve(bank, keys=()), fund)
        cluster.apply(attrs.evolve(cluster.document, teams=teams))
        for name in cluster.names:
            wait_until(
                lambda name=name: cluster.send(name, "bank").status == 401,
                f"{name} refuses the key",
            )
            assert cluster.send(name, "fund").is_answered
        for name in ("entry-2", "entry-3", "control-1"):
            cluster.signal(name, signal.SIGSTOP)
        refused = wait_until(
            lambda: _if_refused(cluster.send("entry-1", "fund")),
            "the isolated entry refuses",
        )
        assert refused.code == "configuration-stale"
        assert refused.ran == "no"


def test_idempotency_keys():
    """Guards against an idempotency key that runs again at another entry.

    A repeated key must get the first answer. After the entry that owned the
    key was killed, the outcome may also be unknown.
    """
    keys = [f"k{number}" for number in range(24)]

    def send(cluster, entry, key, **headers):
        sent = {"Idempotency-Key": key, **headers}
        return cluster.send(entry, "bank", headers=sent)

    with Cluster({"bank": 6}) as cluster:
        first = [send(cluster, "entry-1", key) for key in keys]
        assert all(each.is_answered for each in first)
        repeated = [send(cluster, "entry-3", key) for key in keys]
        assert [e.body for e in repeated] == [e.body for e in first]
        restart(cluster, "entry-2")
        serves(cluster, "entry-2")
        answers = [
            send(cluster, "entry-3", key, **{"Rosemarynotch-Retry": "1"})
            for key in keys
        ]
        for before, now in zip(first, answers, strict=True):
            assert now.body == before.body or now.ran == "unknown"
        rows = cluster.targets.ledger.show()["requests"]
        ran = [row.idempotency_key for row in rows if row.idempotency_key]
        assert sorted(ran) == sorted(keys)
        assert any(
            each.ran == "unknown" for each in answers
        ), "no key changed its owner"


def check_rebooted_once(cluster):
    """Check that each VM reboots once and the availability budget holds."""
    pool = cluster.document.pools[0]
    names = sorted(vm.name for vm in pool.vms)
    events = cluster.platform.ledger.events
    wait_until(
        lambda: len(events("reboot-end")) >= len(names), "all VMs rebooted"
    )
    assert sorted(each["vm"] for each in events("reboot-start")) == names
    down = set()
    for event in sorted(events(), key=lambda each: each["at_s"]):
        if event["kind"] == "reboot-start":
            down.add(event["vm"])
        elif event["kind"] == "reboot-end":
            down.remove(event["vm"])
        assert (
            len(down) <= len(names) - pool.min_available_vms
        ), "budget exceeded"


def test_wave_with_killed_control():
    """Guards against a wave that breaks its rules after a control is killed.

    Each VM must reboot once, the availability budget must hold and no
    request may be interrupted. Answers to writes of the fleet record and to
    operations on VMs are lost as well.
    """
    limits = {"bank": 12}
    with Cluster(limits, controls=2, longest_run_ms=8_000) as cluster:
        # The requests are long and end at different times, so that a reboot
        # that does not wait interrupts some. They are few, so that load does
        # not hold up the wave.
        requests = [
            (cluster.names[n % 3], "bank", 2_500 + 900 * (n % 4))
            for n in range(30)
        ]
        cluster.lose_answers("control-1", "control-2", store=6, services=4)
        with cluster.load(requests, workers=6) as outcomes:
            start_wave(cluster)
            cluster.signal("control-1", signal.SIGKILL)
        check_rebooted_once(cluster)
        check(cluster, outcomes, limits)
        assert not cluster.interrupted()


def test_rack_fails_in_a_wave():
    """Guards against a wave that exceeds the budget after a rack failed.

    The failed rack uses up the availability budget, so the wave may take no
    further VM.
    """
    with Cluster({"bank": 12}, vms=4) as cluster:
        first = start_wave(cluster)[0]["vm"]
        names = [vm.name for vm in cluster.document.pools[0].vms]
        lost = next(name for name in reversed(names) if name != first)
        cluster.platform.vms.remove(lost)
        wait_until(
            lambda: cluster.fleet().vms[lost].state is VmState.FAILED,
            "the lost VM is noticed",
        )
        # VMs that were ordered to reboot before the loss was known.
        ordered = {
            name
            for name, vm in cluster.fleet().vms.items()
            if vm.state is VmState.REBOOTING
        }
        starts = cluster.platform.ledger.events("reboot-start")
        ordered |= {each["vm"] for each in starts}
        time.sleep(PAUSE_S)
        starts = cluster.platform.ledger.events("reboot-start")
        assert {each["vm"] for each in starts} <= ordered
        serves(cluster, "entry-1")


def test_jobs_with_a_killed_leader():
    """Guards against jobs lost or run twice when the leader is killed.

    Each accepted job must run once, within the limit of its team, and have
    its result reported.
    """
    limit = 4
    with Cluster({"bank": limit}, controls=2) as cluster:
        job = {"payload": json.dumps({"run_ms": 700, "result": "done"})}
        jobs = [
            cluster.call_jobs(cluster.names[n % 3], "bank", "", job)["job_id"]
            for n in range(12)
        ]
        events = cluster.platform.ledger.events
        wait_until(lambda: events("task-start"), "the first task")
        holder = cluster.records.read(LEADER_KEY, LeaderRecord).value.holder
        leader = holder.partition(".")[0]
        cluster.signal(leader, signal.SIGKILL)
        cluster.wait(leader)
        cluster.start(leader)
        for number, job_id in enumerate(jobs):
            entry = cluster.names[number % 2]
            answer = wait_until(
                lambda job_id=job_id, entry=entry: _if_done(
                    cluster.call_jobs(entry, "bank", f"/{job_id}")
                ),
                "the job is answered",
            )
            assert answer["result"] == "done", answer
        starts = [each["task"] for each in events("task-start")]
        assert sorted(each.partition(".")[0] for each in starts) == sorted(
            jobs
        )
        running = 0
        for event in sorted(events(), key=lambda each: each["at_s"]):
            running += event["kind"] == "task-start"
            running -= event["kind"] == "task-end"
            assert running <= limit


def _if_done(answer):
    return answer if answer.get("state") == "done" else None


def _if_refused(outcome):
    return outcome if outcome.status == 503 and outcome.ran else None
