"""The clock for all ages and deadlines; it includes the time during which the VM is suspended.

The usual monotonic clock stops while a VM is suspended. By that clock a node that resumes would
treat its data from the source as fresh, requests as in time although their callers are gone, and
expired fences as still valid. It would also compute wrong frame ages: after a suspension the clocks
of two nodes differ by more or less than the smallest difference seen, so fresh frames look seconds
old, or old ones fresh. With this clock a suspension is a pause like any other, which
`roadpass.pause` detects.

Changes of the wall clock do not affect it. Waits in the kernel use the monotonic clock, so a wait
that must not outlast its deadline by the time of a suspension is split into steps of `STEP_S`.
"""

import time
from collections.abc import Callable
from functools import partial

STEP_S = 0.5
"""Maximum seconds of a single wait. After a suspension, a wait ends at most this late, which is
within what the users' platform allows."""

_CLOCK: int = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""`CLOCK_BOOTTIME` exists on Linux only."""

now: Callable[[], float] = partial(time.clock_gettime, _CLOCK)
"""Return seconds since an arbitrary start, including suspensions; never decreases."""

now_ns: Callable[[], int] = partial(time.clock_gettime_ns, _CLOCK)
"""Return the same in nanoseconds."""
