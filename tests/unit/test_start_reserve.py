"""Tests of the VMs that are held before the first load peak."""

import testtools

from rosemarynotch._internal.replay.turn_load import LOAD_QUEUES
from rosemarynotch._internal.replay.turn_load import make_turn_load
from rosemarynotch._internal.replay.turn_load import POOLS
from rosemarynotch._internal.replay.turn_load import STANDBY
from rosemarynotch._internal.replay.turn_trial import TurnTrial
from rosemarynotch._internal.scheduling.policy import UrgentReserve
from rosemarynotch._internal.wiring.policies import choose_policies

FLEET_VMS = 170


class TestReserve(testtools.TestCase):
    """Guards against VMs held for pools that nobody is about to use."""

    def reserve_vms(self, reserve, now_s, is_peak_known=False, **filled):
        """Return the reserve of the pools.

        :param filled: VMs that long-running tasks fill, by pool
        """
        return reserve.reserve_vms(
            LOAD_QUEUES,
            {name.replace("_", "-"): vms for name, vms in filled.items()},
            FLEET_VMS,
            is_peak_known,
            now_s,
        )

    def test_only_urgent_pools_in_use(self):
        """Guards against VMs for queues whose jobs can wait for a move."""
        reserve = UrgentReserve()
        self.assertEqual({}, self.reserve_vms(reserve, 0.0))
        vms = self.reserve_vms(reserve, 1.0, short_1=3.0, long_1=3.0)
        self.assertEqual(["short-1"], list(vms))
        self.assertGreater(vms["short-1"], 0)

    def test_ends_with_the_first_peak(self):
        """Guards against a reserve beside the forecast."""
        reserve = UrgentReserve()
        self.assertTrue(self.reserve_vms(reserve, 0.0, short_1=3.0))
        vms = self.reserve_vms(reserve, 1.0, is_peak_known=True, short_1=3.0)
        self.assertEqual({}, vms)

    def test_ends_without_a_peak(self):
        """Guards against VMs that are held all day."""
        reserve = UrgentReserve()
        self.assertTrue(self.reserve_vms(reserve, 0.0, short_1=3.0))
        self.assertEqual({}, self.reserve_vms(reserve, 60.0, short_1=3.0))


class TestFirstSeconds(testtools.TestCase):
    """Guards against late jobs at the start of the traffic."""

    def test_first_jobs_are_on_time(self):
        """Guards against pools that are nearly empty when traffic begins.

        In the first 6 s, 73 of 156 jobs were on time.
        """
        found = {}
        for choice in ("none", "urgent"):
            jobs = [
                job
                for job in make_turn_load(("short-1",), seed=1)
                if job.at_s < 3
            ]
            vms = dict.fromkeys(POOLS, 35) | {STANDBY: 30}
            policies = choose_policies(f"reserve={choice}")
            found[choice] = TurnTrial(policies, vms).run(jobs, -12.0)
        before, after = found["none"], found["urgent"]
        self.assertGreater(after.on_time_count, before.on_time_count)
