"""Short seeded runs of the soak test; ``python -m soak`` does long ones."""

import pytest

from soak.regressions import REGRESSIONS
from soak.runner import run_soak
from soak.runner import SoakSettings

DURATION_S = 8.0
SEEDS = (101, 102)
RUNS = [(seed, DURATION_S) for seed in SEEDS] + [
    (each.seed, each.duration_s) for each in REGRESSIONS
]


@pytest.mark.parametrize(("seed", "duration_s"), RUNS)
def test_promises_hold_under_faults(seed, duration_s, tmp_path):
    """Guards against violated guarantees and accepted jobs that never end."""
    settings = SoakSettings(seed=seed, duration_s=duration_s)
    result = run_soak(settings, tmp_path)
    assert result.violations == (), "\n".join(result.timeline)
    assert result.run_count > 0
