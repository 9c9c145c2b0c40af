"""Memory of this process."""

from pathlib import Path
import resource

__all__ = ["resident_mb"]

MEGABYTE = 1024 * 1024
STATM = Path("/proc/self/statm")


def resident_mb() -> float:
    """Return the resident memory, 0 if the system does not tell it."""
    try:
        pages = int(STATM.read_text(encoding="ascii").split()[1])
    except (OSError, ValueError, IndexError):
        return 0.0
    return pages * resource.getpagesize() / MEGABYTE
