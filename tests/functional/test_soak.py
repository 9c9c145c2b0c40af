"""Short seeded runs of the soak test; ``python -m soak`` does long ones."""

import pytest

from soak.faults import FAULTS
from soak.regressions import REGRESSIONS
from soak.runner import run_soak
from soak.runner import SoakSettings

DURATION_S = 8.0
SEEDS = (101, 102)
RUNS = [SoakSettings(seed=seed, duration_s=DURATION_S) for seed in SEEDS] + [
    SoakSettings(
        seed=each.seed,
        duration_s=each.duration_s,
        faults=FAULTS,
        long_share=0.0,
        advised_share=0.0,
        scheduled_share=0.0,
    )
    for each in REGRESSIONS
]


@pytest.mark.parametrize(
    "settings", RUNS, ids=lambda run: f"{run.seed}-{run.duration_s}"
)
def test_promises_hold_under_faults(settings, tmp_path):
    """Guards against violated guarantees and accepted jobs that never end."""
    result = run_soak(settings, tmp_path)
    assert result.violations == (), "\n".join(result.timeline)
    assert result.run_count > 0
