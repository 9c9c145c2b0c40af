"""Tests of the fleet trial."""

import testtools

from rosemarynotch._internal.policy.moves import HysteresisMoves
from rosemarynotch._internal.policy.moves import NoMoves
from rosemarynotch._internal.policy.waves import AsManyAsAllowed
from rosemarynotch._internal.replay.fleet_trial import budget_bound_s
from rosemarynotch._internal.replay.fleet_trial import roll_out
from rosemarynotch._internal.replay.fleet_trial import wave_document
from rosemarynotch._internal.replay.move_trial import run_moves


class FleetTrialTest(testtools.TestCase):
    """Guards against policies that are no better than the baselines."""

    def test_wave_stays_near_the_bound_of_the_budgets(self):
        """Guards against waves that take longer than the budgets require."""
        document = wave_document([6] * 5)
        result = roll_out(document, AsManyAsAllowed(), seed=2)
        self.assertEqual(30, result.done_vms)
        self.assertTrue(result.duration_s < 1.5 * budget_bound_s(document))

    def test_moves_shorten_the_wait_of_lasting_peaks(self):
        """Guards against moves that shorten no waits or leave VMs idle."""
        fixed = run_moves(NoMoves(), 30, seed=2)
        moved = run_moves(HysteresisMoves(), 30, seed=2)
        self.assertTrue(moved.late_slot_s < fixed.late_slot_s / 2)
        self.assertTrue(moved.idle_vm_s < fixed.idle_vm_s)
