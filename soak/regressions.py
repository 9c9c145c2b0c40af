"""Seeds of earlier failures with their causes; CI runs them again."""

import attrs

__all__ = ["REGRESSIONS", "Regression"]


@attrs.frozen(kw_only=True)
class Regression:
    """A run that violated a guarantee before its cause was fixed."""

    seed: int
    duration_s: float
    cause: str


REGRESSIONS: tuple[Regression, ...] = (
    Regression(
        seed=14,
        duration_s=10.0,
        cause="a leader that was paused for most of its lease kept leading "
        "without the threads that had seen the lease end; jobs were not "
        "started",
    ),
    Regression(
        seed=24,
        duration_s=10.0,
        cause="a start order without an answer was repeated forever after its "
        "lease had ended, on a worker that was still alive",
    ),
    Regression(
        seed=23,
        duration_s=10.0,
        cause="a failed run that was recorded but not acknowledged was "
        "counted again by the next leader",
    ),
)
