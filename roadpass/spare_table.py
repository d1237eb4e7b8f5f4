"""Where a service has repeats left: what sidecars have announced, and refused, to this node.

The ingress sends a repeat to a target whose account has one, and a sidecar that is short asks one
that has some to spare. An account that is not known may have some.

Holds state only: no sockets, threads or clocks.
"""

import math
import random
from collections.abc import Collection
from typing import NamedTuple

SPENT_S = 0.3
"""Seconds for which an account without a repeat is not tried again. In this time a dozen accounts
get a few repeats from new requests."""
MIN_LOAN = 0.05
"""Smallest part of a repeat that is lent; less is not worth the messages."""
SPARE_S = 1.5
"""Seconds for which announced repeats are believed: an announcement is refreshed every second."""


class _Known(NamedTuple):
    repeats: float
    heard_at: float


class SpareTable:
    """What is known of the accounts of other sidecars; not thread-safe."""

    def __init__(self) -> None:
        self._known: dict[tuple[str, str], _Known] = {}
        self._refused_at: dict[tuple[str, str], float] = {}

    def record_refusal(self, now: float, service: str, vm: str) -> None:
        """Record that an account refused a repeat; it may still have a fraction of one."""
        self._refused_at[service, vm] = now

    def hear(self, now: float, service: str, vm: str, repeats: float) -> None:
        """Record the repeats that an account has left.

        Args:
            now: Clock seconds.
            service: Service of the account.
            vm: VM of the account.
            repeats: Repeats left, which may be a fraction.
        """
        self._known[service, vm] = _Known(repeats, now)

    def spent(self, now: float, service: str, vms: Collection[str]) -> set[str]:
        """Return the VMs whose accounts are known to have less than one repeat."""
        return {vm for vm in vms if self._is_spent(now, service, vm)}

    def with_repeats(self, now: float, service: str, vms: Collection[str]) -> set[str]:
        """Return the VMs whose accounts are known to have a repeat."""
        return {
            vm
            for vm in vms
            if self._spare(now, service, vm) >= 1.0 and not self._is_spent(now, service, vm)
        }

    def choose_lender(
        self, now: float, service: str, vms: Collection[str], need: float, rng: random.Random
    ) -> str | None:
        """Return a VM that has announced enough to lend, or else some, or else is not known.

        Args:
            now: Clock seconds.
            service: Service of the accounts.
            vms: VMs with other accounts of the service.
            need: Repeats to borrow.
            rng: Source of randomness, so that not all ask the same lender.
        """
        ready = [vm for vm in sorted(vms) if self._spare(now, service, vm) >= need]
        if not ready:
            ready = [vm for vm in sorted(vms) if self._spare(now, service, vm) >= MIN_LOAN]
        if not ready:
            ready = [vm for vm in sorted(vms) if not self._is_fresh(now, service, vm)]
        return rng.choice(ready) if ready else None

    def forget_old(self, now: float) -> None:
        """Drop what is no longer believed."""
        old = [key for key, known in self._known.items() if now - known.heard_at > SPARE_S]
        for key in old:
            del self._known[key]
        for key in [key for key, at in self._refused_at.items() if now - at > SPENT_S]:
            del self._refused_at[key]

    def _spare(self, now: float, service: str, vm: str) -> float:
        known = self._known.get((service, vm))
        return known.repeats if known is not None and now - known.heard_at <= SPARE_S else 0.0

    def _is_fresh(self, now: float, service: str, vm: str) -> bool:
        known = self._known.get((service, vm))
        return known is not None and now - known.heard_at < SPENT_S

    def _is_spent(self, now: float, service: str, vm: str) -> bool:
        known = self._known.get((service, vm))
        refused_at = self._refused_at.get((service, vm), -math.inf)
        if known is not None and known.heard_at > refused_at:
            return known.repeats < 1.0 and now - known.heard_at < SPENT_S
        return now - refused_at < SPENT_S
