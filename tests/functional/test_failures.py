"""Promises under failures of real processes, judged by ledgers."""

import signal
import time

import attrs
import testtools

from tests.lib.cluster import Cluster
from tests.lib.cluster import wait_until

PAUSE_S = 4.0


def mixed(entries, teams, count, work_ms, method="POST"):
    """Return requests over all entries and teams in turn."""
    return [
        (entries[i % len(entries)], teams[i % len(teams)], work_ms, method)
        for i in range(count)
    ]


class FailureTest(testtools.TestCase):
    """Guards the promises while processes and the store fail."""

    def check(self, cluster, outcomes, limits):
        """Judge what callers were told by what ran on the targets."""
        runs = cluster.runs()
        for outcome in outcomes:
            count = runs.get(outcome.request_id, 0)
            self.assertLessEqual(count, 1, "ran more than once")
            if outcome.status == 200:
                self.assertTrue(outcome.is_answered, "another's answer")
            if outcome.is_answered:
                self.assertEqual(1, count, "answered but not run")
            if outcome.ran == "no":
                self.assertEqual(0, count, "told not run, but ran")
        for team, limit in limits.items():
            most = cluster.most_running().get(team, 0)
            self.assertLessEqual(most, limit, f"limit of {team}")

    def test_killed_entry(self):
        """An entry killed under load: limits hold, nothing runs twice."""
        limits = {"bank": 5, "fund": 4}
        with Cluster(limits) as cluster:
            requests = mixed(cluster.names, list(limits), 120, 100)
            with cluster.load(requests) as outcomes:
                time.sleep(0.5)
                cluster.signal("entry-2", signal.SIGKILL)
                cluster.wait("entry-2")
                cluster.start("entry-2")
            self.check(cluster, outcomes, limits)
            wait_until(
                lambda: cluster.send("entry-2", "bank").is_answered,
                "the restarted entry serves",
            )

    def test_paused_entry(self):
        """A paused entry with queued work must not exceed limits later."""
        limits = {"bank": 5, "fund": 4}
        with Cluster(limits) as cluster:
            requests = mixed(cluster.names, list(limits), 150, 100)
            with cluster.load(requests) as outcomes:
                time.sleep(0.5)
                cluster.signal("entry-3", signal.SIGSTOP)
                time.sleep(PAUSE_S)
                cluster.signal("entry-3", signal.SIGCONT)
            self.check(cluster, outcomes, limits)

    def test_graceful_stop_of_an_entry(self):
        """SIGTERM under load: each request it took is answered whole."""
        limits = {"bank": 12}
        with Cluster(limits) as cluster:
            requests = mixed(cluster.names, list(limits), 120, 100)
            with cluster.load(requests, workers=24) as outcomes:
                time.sleep(0.5)
                cluster.signal("entry-1", signal.SIGTERM)
                self.assertEqual(0, cluster.wait("entry-1"))
            self.check(cluster, outcomes, limits)
            unclear = [each for each in outcomes if each.ran == "unknown"]
            self.assertEqual([], unclear)
            self.assertEqual(0, cluster.interrupted())

    def test_store_outage_and_killed_entry(self):
        """Entries serve on without the store; a kill frees no permit."""
        limits = {"bank": 6}
        with Cluster(limits) as cluster:
            cluster.cut_store()
            requests = mixed(cluster.names, list(limits), 120, 50)
            with cluster.load(requests) as outcomes:
                time.sleep(0.5)
                cluster.signal("entry-1", signal.SIGKILL)
                cluster.wait("entry-1")
                cluster.start("entry-1")
            self.check(cluster, outcomes, limits)
            alive = [cluster.send("entry-2", "bank") for _ in range(20)]
            self.assertTrue(all(each.is_answered for each in alive))
            cluster.cut_store(is_cut=False)
            wait_until(
                lambda: cluster.send("entry-1", "bank").is_answered,
                "the entry that restarted in the outage serves",
            )
            self.check(cluster, outcomes, limits)

    def test_withdrawn_key(self):
        """A key that was withdrawn is refused, also at a cut-off entry."""
        limits = {"bank": 6, "fund": 6}
        with Cluster(limits) as cluster:
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
                self.assertTrue(cluster.send(name, "fund").is_answered)
            cluster.targets.ledger.clear()
            for name in cluster.names:
                outcome = cluster.send(name, "bank")
                self.assertEqual("no", outcome.ran)
            self.assertEqual({}, cluster.runs())

    def test_isolated_entry_stops_keyed_work(self):
        """An entry that hears neither store nor peers takes no keyed work."""
        limits = {"bank": 6}
        with Cluster(limits) as cluster:
            cluster.cut_store("entry-1")
            for name in ("entry-2", "entry-3", "control-1"):
                cluster.signal(name, signal.SIGSTOP)
            refused = wait_until(
                lambda: _refused(cluster.send("entry-1", "bank")),
                "the isolated entry refuses",
            )
            self.assertEqual("configuration-stale", refused.code)
            self.assertEqual("no", refused.ran)

    def test_lowered_limit(self):
        """Nothing starts above a lowered limit, and nothing is cut."""
        with Cluster({"bank": 10}) as cluster:
            team = attrs.evolve(cluster.document.teams[0], limit_requests=3)
            requests = mixed(cluster.names, ["bank"], 100, 100)
            with cluster.load(requests) as outcomes:
                time.sleep(0.5)
                version = cluster.apply(
                    attrs.evolve(cluster.document, teams=(team,))
                )
                self.assertEqual(2, version)
            self.check(cluster, outcomes, {"bank": 10})
            cluster.targets.ledger.clear()
            requests = mixed(cluster.names, ["bank"], 40, 100)
            with cluster.load(requests) as outcomes:
                pass
            self.check(cluster, outcomes, {"bank": 3})

    def test_wave_with_killed_control(self):
        """Each VM reboots once, the budget holds, no request is cut."""
        limits = {"bank": 12}
        with Cluster(limits, controls=2) as cluster:
            requests = mixed(cluster.names, ["bank"], 250, 100)
            with cluster.load(requests, workers=8) as outcomes:
                _start_wave(cluster)
                wait_until(
                    lambda: cluster.platform.ledger.events("reboot-start"),
                    "the first reboot",
                )
                cluster.signal("control-1", signal.SIGKILL)
            wait_until(
                lambda: len(cluster.platform.ledger.events("reboot-end"))
                >= len(cluster.targets.targets),
                "all VMs rebooted",
            )
            self.check(cluster, outcomes, limits)
            self.assertEqual(0, cluster.interrupted())
            starts = cluster.platform.ledger.events("reboot-start")
            self.assertEqual(
                sorted(cluster.document.pools[0].vms, key=lambda v: v.name),
                sorted(
                    (
                        vm
                        for event in starts
                        for vm in cluster.document.pools[0].vms
                        if vm.name == event["vm"]
                    ),
                    key=lambda v: v.name,
                ),
            )


def _refused(outcome):
    return outcome if outcome.status == 503 and outcome.ran else None


def _start_wave(cluster):
    from rosemarynotch._internal.control import operations

    return operations.start_wave(
        cluster.records, cluster.document, "wave", "test", "test"
    )
