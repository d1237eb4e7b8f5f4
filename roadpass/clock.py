"""The one clock by which a node tells ages and deadlines: it counts the time a VM was suspended.

The steady clock that most programs take stands still while a VM is suspended. By it a node that
wakes holds what it last heard of the source for fresh, requests for in time whose callers are gone,
and what it was told not to run for still fenced as before. It also spoils how old a frame is: after
a suspension the clocks of two nodes differ by more, or less, than the least difference seen, and
good frames look seconds old, or old ones fresh. With this clock a suspension is a pause like any
other, which `roadpass.pause` notices.

No jump of the time of day moves it. What waits, waits in the kernel, by the steady clock: a wait
that must not outlast its deadline by the time of a suspension is cut into steps of `STEP_S`.
"""

import time
from collections.abc import Callable
from functools import partial

STEP_S = 0.5
"""Seconds that a wait for a deadline lasts at a time: after a suspension it ends so much late at
the most, as the users' platform allows."""

_CLOCK: int = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Other systems than Linux have no clock of this name."""

now: Callable[[], float] = partial(time.clock_gettime, _CLOCK)
"""Return seconds since some moment, suspension included; never less than before."""

now_ns: Callable[[], int] = partial(time.clock_gettime_ns, _CLOCK)
"""Return the same in nanoseconds."""
