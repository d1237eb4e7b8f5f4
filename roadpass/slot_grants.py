"""Which ingress gets the next free slot of a target, and which slots are held for ingresses."""

from dataclasses import dataclass

from roadpass.wait_order import WaitOrder

ROW_TTL_S = 0.6
"""Seconds after which an announcement is void: three times the interval between two of them."""
NEAR_HOLD_S = 0.06
FAR_HOLD_S = 0.15
"""Seconds for which a slot is held for an ingress of the own data hall, and of another one: several
round trips, so that a slow node can use it. An unused hold is an idle slot."""
CHECKED_HOLD_S = 0.6
"""Seconds for which a slot is held once its admission check was accepted, so that the attempt with
its body can arrive: 360 KB take 0.6 s at 5 Mbit/s."""


@dataclass(slots=True)
class WaitingRow:
    """The requests of one service that wait at one ingress.

    Args:
        ingress: VM of the ingress.
        count: Requests that waited when they were announced.
        order: Place of the first of them.
        at: Clock seconds of the announcement.
        granted: Slots granted to the ingress since, and earlier ones that are still held.
    """

    ingress: str
    count: int
    order: WaitOrder
    at: float
    granted: int = 0


@dataclass(slots=True, eq=False)
class Hold:
    """A slot that is held for an ingress.

    Args:
        target: Name of the target.
        slot: Number of the slot, unique within this process.
        service: Service of the target.
        ingress: VM of the ingress.
        traffic_class: Class under which the slot counts as in use.
        until: Clock seconds at which the hold ends.
        owner: The target's state at its sidecar, for the code that releases the slot.
    """

    target: str
    slot: int
    service: str
    ingress: str
    traffic_class: str
    until: float
    owner: object = None


class SlotGrants:
    """Announced waiting requests and held slots at one sidecar; not thread-safe.

    Args:
        first_slot: Number of the first slot. It differs between processes of a node, so that a
            grant of an earlier one names no slot of this one.
    """

    def __init__(self, first_slot: int = 0) -> None:
        self._next_slot = first_slot
        self._rows: dict[str, dict[str, WaitingRow]] = {}
        self._holds: dict[tuple[str, int], Hold] = {}

    @property
    def held(self) -> int:
        """Number of held slots."""
        return len(self._holds)

    def announce(
        self, now: float, ingress: str, service: str, count: int, order: WaitOrder
    ) -> None:
        """Record the requests that wait at an ingress; a count of 0 ends their announcement."""
        rows = self._rows.setdefault(service, {})
        if count <= 0:
            rows.pop(ingress, None)
            return
        held = sum(
            hold.ingress == ingress and hold.service == service for hold in self._holds.values()
        )
        rows[ingress] = WaitingRow(ingress, count, order, now, held)

    def waiting(self, now: float, service: str) -> dict[str, int]:
        """Return the number of announced requests of a service without a slot, by ingress."""
        rows = self._valid(now, service)
        return {row.ingress: max(0, row.count - row.granted) for row in rows}

    def first(self, now: float, service: str) -> WaitingRow | None:
        """Return the announcement that gets the next slot, `None` if there is none."""
        rows = [row for row in self._valid(now, service) if row.count > row.granted]
        return min(rows, key=lambda row: (row.order, row.at), default=None)

    def hold(
        self,
        now: float,
        row: WaitingRow,
        target: str,
        service: str,
        traffic_class: str,
        hold_s: float,
        owner: object = None,
    ) -> Hold:
        """Hold a slot for the ingress of an announcement.

        Args:
            now: Clock seconds.
            row: The announcement.
            target: Target of the slot.
            service: Service of the target.
            traffic_class: Class under which the slot counts as in use.
            hold_s: Seconds for which it is held.
            owner: See `Hold`.
        """
        row.granted += 1
        hold = Hold(
            target, self._next_slot, service, row.ingress, traffic_class, now + hold_s, owner
        )
        self._next_slot += 1
        self._holds[target, hold.slot] = hold
        return hold

    def extend(self, now: float, target: str, slot: int) -> bool:
        """Extend a hold whose admission check was accepted; return whether it is still held."""
        hold = self._holds.get((target, slot))
        if hold is None or hold.until <= now:
            return False
        hold.until = max(hold.until, now + CHECKED_HOLD_S)
        return True

    def take(self, now: float, target: str, slot: int) -> Hold | None:
        """End a hold because its attempt is here; `None` if it has ended before."""
        hold = self._holds.get((target, slot))
        if hold is None or hold.until <= now:
            return None
        return self._holds.pop((target, slot))

    def give_back(self, target: str, slot: int) -> Hold | None:
        """End a hold that its ingress does not need; it gets none until it announces again."""
        hold = self._holds.pop((target, slot), None)
        if hold is not None:
            self._forget(hold)
        return hold

    def expired(self, now: float) -> list[Hold]:
        """End the holds whose time has passed; their ingresses get none until they announce."""
        ended = [hold for hold in self._holds.values() if hold.until <= now]
        for hold in ended:
            del self._holds[hold.target, hold.slot]
            self._forget(hold)
        return ended

    def _valid(self, now: float, service: str) -> list[WaitingRow]:
        rows = self._rows.get(service, {})
        for name in [name for name, row in rows.items() if now - row.at > ROW_TTL_S]:
            del rows[name]
        return list(rows.values())

    def _forget(self, hold: Hold) -> None:
        self._rows.get(hold.service, {}).pop(hold.ingress, None)
