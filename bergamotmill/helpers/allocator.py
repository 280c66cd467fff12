"""Settings of the C library's memory allocator."""

import ctypes

_M_MMAP_THRESHOLD = -3
# Buffers of at least this size are returned to the system when they are freed:
# the allocator's own threshold rises up to 32 MiB with the size of freed ones,
# and the gaps that they leave are not reused for others. What is read from a
# socket at once has to be included, although each buffer costs page faults.
MMAP_THRESHOLD_BYTES = 64 * 1024


def return_freed_buffers() -> bool:
    """Makes the allocator return large buffers when they are freed.

    Returns:
        Whether the C library supports this.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))
