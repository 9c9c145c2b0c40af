"""Test of guarantees during a network partition of the members."""

import concurrent.futures
import contextlib
import threading

import attrs

from tests.lib.cluster import Cluster
from tests.lib.cluster import wait_until
from tests.lib.judging import check
from tests.lib.judging import check_runs
from tests.lib.judging import mixed
from tests.lib.judging import serves

EAST = ("entry-1", "control-1")
WEST = ("entry-2", "entry-3")
LIMITS = {"bank": 6, "fund": 6}


def send_keys(cluster, entry, keys, **headers):
    """Send a request with each idempotency key, all at once."""
    requests = [
        (entry, "bank", 0, "POST", "", {"Idempotency-Key": key, **headers})
        for key in keys
    ]
    with cluster.load(requests) as outcomes:
        pass
    return outcomes


def check_keys(cluster, outcomes):
    """Check that no key ran twice and no refused request ran."""
    check_runs(cluster, outcomes)
    rows = cluster.targets.ledger.show()["requests"]
    ran = [row.idempotency_key for row in rows if row.idempotency_key]
    assert len(ran) == len(set(ran)), "a key ran twice"


def is_refused(cluster, name, team):
    """Tell whether an entry refuses a team as its configuration is stale."""
    outcome = cluster.send(name, team)
    return outcome.ran == "no" and outcome.code == "configuration-stale"


@contextlib.contextmanager
def sending_continuously(cluster, entries, team):
    """Send requests of a team without pauses; yield their outcomes."""
    stopped = threading.Event()
    outcomes = []

    def send(entry):
        while not stopped.is_set():
            outcomes.append(cluster.send(entry, team))

    with concurrent.futures.ThreadPoolExecutor(2 * len(entries)) as pool:
        futures = [pool.submit(send, each) for each in 2 * entries]
        try:
            yield outcomes
        finally:
            stopped.set()
    for future in futures:
        future.result()


def check_entry_with_store(cluster):
    """Check that entry-1 serves a team if it has a portion of its limit.

    Without one it refuses, since no portion can be taken from the other
    entries, which may still run requests.
    """
    if cluster.portion("entry-1", "bank"):
        serves(cluster, "entry-1")
    else:
        outcome = cluster.send("entry-1", "bank")
        assert (outcome.ran, outcome.code) == ("no", "peer-unreachable")


def withdraw_keys(cluster, team):
    """Withdraw all keys of a team."""
    teams = tuple(
        attrs.evolve(each, keys=()) if each.name == team else each
        for each in cluster.document.teams
    )
    cluster.apply(attrs.evolve(cluster.document, teams=teams))


def test_groups_without_contact():
    """Guards against withdrawn keys, second runs and exceeded limits.

    First, messages from the east to the west are lost, so requests of the
    west run in the east but their answers do not arrive. Then no messages
    pass. The west has no contact with the store from the start, and later
    the east has none either. At the end everything is connected again.
    """
    keys = [f"k{number}" for number in range(24)]
    with Cluster(LIMITS, has_links=True) as cluster:
        links = cluster.links
        links.cut(EAST, WEST)
        cluster.cut_store(*WEST)
        keyed_outcomes = send_keys(cluster, "entry-2", keys)
        check_keys(cluster, keyed_outcomes)
        assert any(
            each.ran == "unknown" for each in keyed_outcomes
        ), "all are answered"
        links.cut(WEST, EAST)
        retry = {"Rosemarynotch-Retry": "1"}
        for name in ("entry-1", "entry-3"):
            keyed_outcomes += send_keys(cluster, name, keys, **retry)
        requests = mixed(cluster.names, list(LIMITS), 60, 100)
        with cluster.load(requests) as outcomes:
            withdraw_keys(cluster, "fund")
        check(cluster, outcomes, LIMITS)
        check_keys(cluster, keyed_outcomes)
        for name in WEST:
            wait_until(
                lambda name=name: is_refused(cluster, name, "fund"),
                f"{name} refuses without contact",
            )
        check_entry_with_store(cluster)
        cluster.cut_store()
        wait_until(
            lambda: is_refused(cluster, "entry-1", "bank"),
            "entry-1 refuses without contact",
        )
        cluster.targets.ledger.clear()
        requests = mixed(cluster.names, list(LIMITS), 30, 0)
        with cluster.load(requests) as outcomes:
            pass
        assert all(each.ran == "no" for each in outcomes)
        assert not cluster.runs(), "a request ran without contact"
        with sending_continuously(cluster, WEST, "fund") as sent:
            links.heal()
            cluster.cut_store(is_cut=False)
            for name in cluster.names:
                serves(cluster, name)
        assert not any(
            each.is_answered for each in sent
        ), "a request with a withdrawn key was answered"
        for name in cluster.names:
            assert cluster.send(name, "fund").status == 401
        keyed_outcomes = send_keys(cluster, "entry-3", keys, **retry)
        check_keys(cluster, keyed_outcomes)
        with cluster.load(mixed(cluster.names, ["bank"], 30, 50)) as outcomes:
            pass
        check(cluster, outcomes, LIMITS)
