"""Seeds that failed once, with the cause; CI plays them on."""

import attrs

__all__ = ["REGRESSIONS", "Regression"]


@attrs.frozen(kw_only=True)
class Regression:
    """A run that broke a promise before its cause was corrected."""

    seed: int
    duration_s: float
    cause: str


REGRESSIONS: tuple[Regression, ...] = ()
