"""A control process whose wave policy chooses every VM at once."""

from rosemarynotch._internal.cli.control import main
from rosemarynotch._internal.policy.waves import WavePolicy
from rosemarynotch._internal.wiring import control

__all__: list[str] = []


class AllCandidates(WavePolicy):
    """Chooses every candidate, regardless of budgets, racks and load."""

    def choose(self, pools, limit_vms):
        """Return all candidates."""
        return [each.vm for pool in pools for each in pool.candidates]


if __name__ == "__main__":
    control.WAVE_POLICIES["many"] = AllCandidates
    main()
