"""Settings of the memory allocator of the C library."""

import ctypes

__all__ = ["return_large_blocks"]

# From <malloc.h> of glibc.
M_MMAP_THRESHOLD = -3
# The initial value of glibc.
MMAP_THRESHOLD_BYTES = 128 * 1024


def return_large_blocks() -> bool:
    """Return large blocks of memory to the system as soon as they are freed.

    By default glibc raises the size from which it does so to that of the
    largest block freed so far. Each thread then keeps the memory of the
    largest body that it has handled.

    :returns: False if the C library has no such setting
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))
