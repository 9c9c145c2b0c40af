"""Tests of the metrics and alarms of all members, as shown by one entry."""

import signal

from tests.lib.cluster import Cluster
from tests.lib.cluster import OPERATORS
from tests.lib.cluster import wait_until

REQUESTS_PER_ENTRY = 4


def fetch(cluster, entry, path):
    """Return the response of an entry to an operator."""
    return cluster.session(OPERATORS[0], entry).get(path)


def metrics(cluster, query=""):
    """Return the metrics that entry-1 shows."""
    return fetch(cluster, "entry-1", f"/v1/metrics{query}")


def count_runs(answer):
    """Return how many requests the histograms of run times cover."""
    return sum(
        summary["count"]
        for name, summary in answer["summaries"].items()
        if name.startswith("run{")
    )


def missing_entries(cluster):
    """Return the entries that are not included in the metrics."""
    answer = metrics(cluster)
    names = [item["entry"] for item in answer["missing"]]
    assert answer["complete"] is not bool(names)
    assert sorted(answer["included"] + names) == cluster.names
    return names


def complete_metrics(cluster):
    """Return metrics of all entries.

    On a slow machine an entry may exceed the timeout, so this is retried.
    """
    answers = []

    def is_complete():
        answers.append(metrics(cluster))
        return answers[-1]["complete"]

    wait_until(is_complete, "all entries answer")
    return answers[-1]


def test_entries_are_added_up_and_a_paused_one_is_named():
    """Guards against metrics of some entries that are shown as complete."""
    with Cluster({"bank": 6}) as cluster:
        before = count_runs(complete_metrics(cluster))
        own_before = count_runs(metrics(cluster, "?scope=entry"))
        for name in cluster.names:
            for _ in range(REQUESTS_PER_ENTRY):
                assert cluster.send(name, "bank").is_answered
        answer = complete_metrics(cluster)
        assert answer["included"] == cluster.names
        count = REQUESTS_PER_ENTRY * len(cluster.names)
        assert count_runs(answer) - before == count
        own = count_runs(metrics(cluster, "?scope=entry")) - own_before
        assert REQUESTS_PER_ENTRY <= own < count
        cluster.signal("entry-3", signal.SIGSTOP)
        wait_until(
            lambda: missing_entries(cluster) == ["entry-3"],
            "only entry-3 is missing",
        )
        path = "/v1/report?format=html"
        assert "Not complete" in fetch(cluster, "entry-1", path)
        cluster.signal("entry-3", signal.SIGCONT)
        wait_until(
            lambda: not missing_entries(cluster), "entry-3 answers again"
        )


def test_implausible_vm_list_is_in_the_report():
    """Guards against a report without an alarm raised by control."""
    with Cluster({"bank": 6}, entries=2) as cluster:

        def alarms():
            status = fetch(cluster, "entry-2", "/v1/status")
            return [each["alarm"] for each in status["findings"]]

        assert "vm-list" not in alarms()
        cluster.platform.faults.change({"vm_list": "empty"})
        wait_until(lambda: "vm-list" in alarms(), "the alarm arrives")
        report = fetch(cluster, "entry-2", "/v1/report")
        assert "NOT KNOWN" in report
        cluster.platform.faults.change({"vm_list": "live"})
        wait_until(lambda: "vm-list" not in alarms(), "the alarm ends")
