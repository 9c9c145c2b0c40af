"""Units and ranges of the document's fields."""

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

    :ivar path: where it is, such as ``pools[0].vms[2].slots``
    :ivar what: what is wrong
    :ivar valid: what would be valid
    """

    path: str
    what: str
    valid: str

    def __str__(self) -> str:
        return f"{self.path or 'document'}: {self.what}; valid: {self.valid}"


@attrs.frozen
class FieldRange:
    """Range of a number, both ends included, and its unit."""

    least: float
    most: float
    unit: str

    def __str__(self) -> str:
        return f"{self.least} to {self.most}"


# The upper ends are above the size planned for in two years; they catch a
# number entered in the wrong unit.
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
