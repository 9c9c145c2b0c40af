"""Maintenance waves."""

import attrs

__all__ = ["Wave"]


@attrs.frozen(kw_only=True)
class Wave:
    """VMs that are due for maintenance.

    :ivar max_down: VMs of the wave that may be down at once
    """

    number: int
    vms: tuple[str, ...]
    duration_s: float
    max_down: int
