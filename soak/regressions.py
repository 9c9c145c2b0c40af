"""Seeds that failed once, with the cause; CI plays them on."""

import attrs

__all__ = ["REGRESSIONS", "Regression"]


@attrs.frozen(kw_only=True)
class Regression:
    """A run that broke a promise before its cause was corrected."""

    seed: int
    duration_s: float
    cause: str


REGRESSIONS: tuple[Regression, ...] = (
    Regression(
        seed=14,
        duration_s=10.0,
        cause="a leader that was paused for most of its lease led on without "
        "the threads that had seen it end; jobs were not started",
    ),
    Regression(
        seed=24,
        duration_s=10.0,
        cause="a start without an answer was repeated for ever after its "
        "lease had ended on a worker that lived on",
    ),
    Regression(
        seed=23,
        duration_s=10.0,
        cause="a failed run that was recorded but not acknowledged was "
        "counted again by the next leader",
    ),
)
