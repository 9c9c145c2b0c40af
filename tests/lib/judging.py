"""Steps and judgements that tests of failures share."""

import signal

from rosemarynotch._internal.control import operations
from tests.lib.cluster import wait_until

__all__ = [
    "check",
    "check_runs",
    "mixed",
    "restart",
    "serves",
    "start_wave",
]


def mixed(entries, teams, count, work_ms, methods=("POST",)):
    """Return requests over all entries, teams and methods in turn."""
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
    """Judge that nothing ran twice or after a refusal."""
    runs = cluster.runs()
    for outcome in outcomes:
        count = runs.get(outcome.request_id, 0)
        if outcome.method == "POST":
            assert count <= 1, "ran more than once"
        if outcome.ran == "no":
            assert not count, f"told not run, but ran: {outcome}"


def check(cluster, outcomes, limits):
    """Judge what callers were told by what ran on the targets."""
    check_runs(cluster, outcomes)
    runs = cluster.runs()
    for outcome in outcomes:
        if outcome.status == 200:
            assert outcome.is_answered, "another's answer"
            assert outcome.request_id in runs, "answered but not run"
    for team, limit in limits.items():
        most = cluster.most_running().get(team, 0)
        assert most <= limit, f"limit of {team}"


def serves(cluster, name, team="bank"):
    """Wait until an entry answers a team."""
    wait_until(
        lambda: cluster.send(name, team).is_answered, f"{name} serves {team}"
    )


def restart(cluster, name):
    """Kill a process and start it again on the same VM."""
    cluster.signal(name, signal.SIGKILL)
    cluster.wait(name)
    cluster.start(name)


def start_wave(cluster):
    """Start the wave and wait for its first reboot."""
    operations.start_wave(
        cluster.records, cluster.document, "wave", "test", "test"
    )
    return wait_until(
        lambda: cluster.platform.ledger.events("reboot-start"),
        "the first reboot",
    )
