"""The part of a service's fixed repeats (its slack) that the account of one VM may use.

The slack is divided by the number of VMs that had targets of the service in the last window. No two
nodes have quite the same view of the fleet, so the parts add up to the slack at most only if:

- each VM that uses a part is known to all others that do so in the same window: a part starts a
  window and `MARGIN_S` after the VM got its first target, and is lost with its last one;
- a VM that has left, or lost its entry in a partition, is counted for a window and `MARGIN_S` more;
- a node that cannot confirm its view of the fleet has no part, as it may miss VMs that were added.
"""

import math
from collections.abc import Iterable

from roadpass.repeat_loans import LENDER_HOLD_S

STALE_S = 2.0
"""Seconds since the last confirmation of the fleet's targets after which there is no slack. The
source's changes are in force at each node within this time unless the source is unavailable."""
MARGIN_S = STALE_S + LENDER_HOLD_S + 0.2
"""Seconds beyond the window in which a VM must be known: its entry is noticed `STALE_S` late, and a
loan is used later than it was debited. The rest allows for different rates of the clocks."""


class SlackShare:
    """Part of one service's slack; not thread-safe.

    Args:
        vm: VM of the account.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._last_seen: dict[str, float] = {}
        self._own_since = math.inf

    def record(self, now: float, vms: Iterable[str]) -> None:
        """Record the VMs that have targets of the service now.

        Args:
            now: Clock seconds.
            vms: Their names, in any order.
        """
        present = set(vms)
        for vm, last in self._last_seen.items():
            if vm not in present and last == math.inf:
                self._last_seen[vm] = now
        self._last_seen |= dict.fromkeys(present, math.inf)
        if self._vm not in present:
            self._own_since = math.inf
        elif self._own_since == math.inf:
            self._own_since = now

    def share(self, now: float, window_s: float, confirmed_at: float) -> float:
        """Return the part of the slack, 0 to 1.

        Args:
            now: Clock seconds.
            window_s: Length of the window in seconds.
            confirmed_at: Clock seconds of the last confirmation of the fleet's targets.
        """
        begin = now - window_s - MARGIN_S
        for vm in [vm for vm, last in self._last_seen.items() if last < begin]:
            del self._last_seen[vm]
        if self._own_since > begin or now - confirmed_at > STALE_S:
            return 0.0
        return 1.0 / len(self._last_seen)
