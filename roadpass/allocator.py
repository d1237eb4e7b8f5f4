"""Settings of the C library's memory allocator."""

import ctypes

MMAP_THRESHOLD_BYTES = 1024 * 1024
"""Size from which a buffer is a mapping of its own, which goes back to the system when it is freed.
Unless it is set, the C library raises it to the longest buffer that was freed, up to 32 MB, and
each of its arenas then keeps up to twice as much."""
_M_MMAP_THRESHOLD = -3


def return_freed_buffers() -> bool:
    """Have long buffers returned to the system when they are freed.

    Returns:
        Whether the C library has that setting.
    """
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    return set_option is not None and bool(set_option(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))
