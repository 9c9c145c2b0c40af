"""Steps and checks that tests of failures share."""

import signal

import attrs

from rosemarynotch._internal.control import operations
from tests.lib.cluster import Cluster
from tests.lib.cluster import wait_until

__all__ = [
    "check",
    "check_runs",
    "LIMITS",
    "mixed",
    "restart",
    "Row",
    "run_row",
    "serves",
    "start_wave",
]

LIMITS = {"bank": 5, "fund": 4}


@attrs.frozen(kw_only=True)
class Row:
    """A test case: a fault, the requests that it affects and the checks.

    :ivar during: function of the cluster that injects the fault while the
        requests run
    :ivar before: function called before the requests are sent
    :ivar after: check that is run once all requests have ended
    :ivar limits: limits of running requests by team
    :ivar count: number of requests
    :ivar work_ms: work of each request
    :ivar workers: number of requests sent at the same time
    :ivar methods: HTTP methods, used in turn
    :ivar is_graceful: whether no request may be interrupted or have an
        unknown outcome
    :ivar is_entry_killed: whether connections of callers may break
    :ivar failed_count: allowed number of answers with status 500
    """

    during: object
    before: object = None
    after: object = None
    limits: dict = LIMITS
    count: int = 120
    work_ms: int = 100
    workers: int = 48
    methods: tuple = ("POST",)
    is_graceful: bool = False
    is_entry_killed: bool = False
    failed_count: int = 0


def mixed(entries, teams, count, work_ms, methods=("POST",)):
    """Return requests that use entries, teams and methods in turn."""
    return [
        (
            entries[i % len(entries)],
            teams[i % len(teams)],
            work_ms,
            methods[i % len(methods)],
        )
        for i in range(count)
    ]


def check_runs(cluster, outcomes):
    """Check that no POST ran twice and no refused request ran."""
    runs = cluster.runs()
    for outcome in outcomes:
        count = runs.get(outcome.request_id, 0)
        if outcome.method == "POST":
            assert count <= 1, "ran more than once"
        if outcome.ran == "no":
            assert not count, f"reported as not run, but ran: {outcome}"


def check(cluster, outcomes, limits):
    """Check outcomes and limits against the ledger of the targets."""
    check_runs(cluster, outcomes)
    runs = cluster.runs()
    for outcome in outcomes:
        if outcome.status == 200:
            assert outcome.is_answered, "wrong or truncated answer"
            assert (
                outcome.request_id in runs
            ), "answered with 200, but did not run"
    for team, limit in limits.items():
        peak = cluster.peak_running().get(team, 0)
        assert peak <= limit, f"limit of {team}"


def serves(cluster, name, team="bank"):
    """Wait until an entry answers a request of a team."""
    wait_until(
        lambda: cluster.send(name, team).is_answered, f"{name} serves {team}"
    )


def restart(cluster, name):
    """Kill a process and start it again on the same VM."""
    cluster.signal(name, signal.SIGKILL)
    cluster.wait(name)
    cluster.start(name)


def start_wave(cluster):
    """Start the wave and return the events of its first reboots."""
    operations.start_wave(
        cluster.records, cluster.document, "wave", "test", "test"
    )
    return wait_until(
        lambda: cluster.platform.ledger.events("reboot-start"),
        "the first reboot",
    )


def run_row(row):
    """Send the requests of a row, inject its fault and run its checks."""
    with Cluster(row.limits) as cluster:
        if row.before:
            row.before(cluster)
        requests = mixed(
            cluster.names,
            list(row.limits),
            row.count,
            row.work_ms,
            row.methods,
        )
        with cluster.load(requests, row.workers) as outcomes:
            wait_until(lambda: len(cluster.runs()) > 10, "requests run")
            row.during(cluster)
        check(cluster, outcomes, row.limits)
        if row.is_graceful:
            unknown = [each for each in outcomes if each.ran == "unknown"]
            assert not unknown
            assert not cluster.interrupted()
        for outcome in outcomes:
            may_break = row.is_entry_killed and not outcome.status
            if outcome.method == "GET" and not may_break:
                assert outcome.ran != "unknown", "GET request was not retried"
        failed = sum(each.status == 500 for each in outcomes)
        assert failed <= row.failed_count
        if row.after:
            row.after(cluster)
            check_runs(cluster, outcomes)
