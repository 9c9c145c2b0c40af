"""Units and valid ranges of the numeric fields of a document."""

import attrs

from rosemarynotch._internal.models.document import KeySpec
from rosemarynotch._internal.models.document import PoolSpec
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.document import TeamSpec
from rosemarynotch._internal.models.document import VmSpec
from rosemarynotch._internal.models.document import WaveSpec

__all__ = ["FieldRange", "Problem", "RANGES"]


@attrs.frozen(kw_only=True)
class Problem:
    """An error in a document.

    :ivar path: path of the field, such as ``pools[0].vms[2].slots``; empty
        for the whole document
    :ivar error: description of the error
    :ivar valid: description of valid values
    """

    path: str
    error: str
    valid: str

    def __str__(self) -> str:
        return f"{self.path or 'document'}: {self.error}; valid: {self.valid}"


@attrs.frozen
class FieldRange:
    """Inclusive range of a number, and its unit."""

    minimum: float
    maximum: float
    unit: str

    def __str__(self) -> str:
        return f"{self.minimum} to {self.maximum}"


# The maxima exceed the fleet size planned for in two years. They detect
# numbers that were entered in the wrong unit.
RANGES: dict[type, dict[str, FieldRange]] = {
    VmSpec: {
        "slots": FieldRange(1, 1024, "requests"),
        "connections": FieldRange(1, 4096, "connections"),
        "cores": FieldRange(0, 1024, "cores"),
        "memory_mb": FieldRange(0, 16_777_216, "MB"),
        "accelerators": FieldRange(0, 64, "accelerators"),
    },
    PoolSpec: {
        "min_available_vms": FieldRange(0, 2000, "VMs"),
        "urgent_reserve_slots": FieldRange(0, 100_000, "slots"),
    },
    TeamSpec: {
        "share": FieldRange(0.001, 1000, "ratio"),
        "limit_requests": FieldRange(0, 1_000_000, "requests"),
    },
    KeySpec: {},
    QueueSpec: {"longest_run_ms": FieldRange(1, 86_400_000, "ms")},
    WaveSpec: {"max_parallel_vms": FieldRange(0, 2000, "VMs")},
}
