"""Metrics and alarms of all members, as one entry tells them."""

import signal

from tests.lib.cluster import Cluster
from tests.lib.cluster import OPERATORS
from tests.lib.cluster import wait_until

REQUESTS_PER_ENTRY = 4


def ask(cluster, entry, path):
    """Return what an entry answers to an operator."""
    return cluster.session(OPERATORS[0], entry).get(path)


def metrics(cluster, query=""):
    """Return the metrics that entry-1 tells."""
    return ask(cluster, "entry-1", f"/v1/metrics{query}")


def runs(answer):
    """Return how many requests the histograms of run times cover."""
    return sum(
        summary["count"]
        for name, summary in answer["summaries"].items()
        if name.startswith("run{")
    )


def missing(cluster):
    """Return the entries that are not in the sums."""
    answer = metrics(cluster)
    names = [item["entry"] for item in answer["missing"]]
    assert answer["complete"] is not bool(names)
    assert sorted(answer["included"] + names) == cluster.names
    return names


def complete_metrics(cluster):
    """Return sums over all entries; a slow machine may need some tries."""
    answers = []

    def is_complete():
        answers.append(metrics(cluster))
        return answers[-1]["complete"]

    wait_until(is_complete, "all entries answer")
    return answers[-1]


def test_entries_are_added_up_and_a_paused_one_is_named():
    """Guards against a part of the entries that is taken for all."""
    with Cluster({"bank": 6}) as cluster:
        before = runs(complete_metrics(cluster))
        own_before = runs(metrics(cluster, "?scope=entry"))
        for name in cluster.names:
            for _ in range(REQUESTS_PER_ENTRY):
                assert cluster.send(name, "bank").is_answered
        answer = complete_metrics(cluster)
        assert answer["included"] == cluster.names
        count = REQUESTS_PER_ENTRY * len(cluster.names)
        assert runs(answer) - before == count
        own = runs(metrics(cluster, "?scope=entry")) - own_before
        assert REQUESTS_PER_ENTRY <= own < count
        cluster.signal("entry-3", signal.SIGSTOP)
        wait_until(lambda: missing(cluster) == ["entry-3"], "only it misses")
        path = "/v1/report?format=html"
        assert "Not complete" in ask(cluster, "entry-1", path)
        cluster.signal("entry-3", signal.SIGCONT)
        wait_until(lambda: not missing(cluster), "entry-3 answers again")


def test_implausible_vm_list_is_in_the_report():
    """Guards against an alarm of control that only its log has."""
    with Cluster({"bank": 6}, entries=2) as cluster:

        def alarms():
            status = ask(cluster, "entry-2", "/v1/status")
            return [each["alarm"] for each in status["findings"]]

        assert "vm-list" not in alarms()
        cluster.platform.faults.change({"vm_list": "empty"})
        wait_until(lambda: "vm-list" in alarms(), "the alarm arrives")
        report = ask(cluster, "entry-2", "/v1/report")
        assert "NOT KNOWN" in report
        cluster.platform.faults.change({"vm_list": "live"})
        wait_until(lambda: "vm-list" not in alarms(), "the alarm ends")
