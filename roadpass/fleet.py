"""The fleet as one configuration revision describes it."""

import threading
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any, NamedTuple

from fastjsonschema import JsonSchemaException

from roadpass import jsonc
from roadpass._generated.check_document import validate
from roadpass.customer import Customer, Customers
from roadpass.errors import CustomerError, DocumentError
from roadpass.label import Labels
from roadpass.offer import FAR_LOSS_PER_KB
from roadpass.retry import BURST, WINDOW_S
from roadpass.route import Route, RouteTable
from roadpass.selector import Labelled, Selector, known_zone, select
from roadpass.sharing import OFF, Sharing

DEFAULT_CLASS = "default"
_NAMED_SECTIONS = ("services", "targets", "routes", "customers")
"""Sections of a document whose entries are merged by name."""
SECONDS_PER_MINUTE = 60


class TrafficClass(NamedTuple):
    """A traffic class; `reserved` is its share of each target's slots, from 0 to 1."""

    name: str
    reserved: float


def joined_class(customer: str, route: str) -> str:
    """Return the name of a combined class; names sort by customer class, then by route class."""
    return f"{customer}.{route}"


class Judgement(NamedTuple):
    """Thresholds for the health of a service's targets.

    Args:
        slow_margin: A request counts as slow if its latency exceeds this multiple of the other
            targets' 95th percentile.
        trial_weight: Share of traffic that a target on trial receives.
        trial_successes: Consecutive successful responses that end a trial.
    """

    slow_margin: float = 1.5
    trial_weight: float = 0.02
    trial_successes: int = 8


class Service(NamedTuple):
    """Operator settings of a service.

    Args:
        far_loss_per_kb: Cost of a kilobyte sent to another data hall, as a share of a lost request.
        target_repeats: Retries that one of its targets receives per window, beyond `retry_ratio`.
        retry_window_s: Length of the window in seconds.
        fleet_ratio: Retries per request that the whole service receives, where its sidecars lend
            each other retries (`Sharing.fleet_repeats`).
        fleet_slack: Additional retries of the whole service in each window, likewise.
    """

    name: str
    floor_slots: int
    false_ejections_per_target_week: float
    timeout_ms: int
    attempt_timeout_ms: int
    queue_limit: int
    waiting_limit: int
    retry_ratio: float
    retry_burst: float
    slow_start_s: float
    shed_status: int | None
    classes: tuple[TrafficClass, ...]
    judgement: Judgement = Judgement()
    far_loss_per_kb: float = FAR_LOSS_PER_KB
    target_repeats: float = BURST
    retry_window_s: float = WINDOW_S
    fleet_ratio: float = 0.0
    fleet_slack: float = 0.0

    @classmethod
    def from_config(cls, name: str, value: Any) -> "Service":
        """Build a service from its validated JSON value."""
        classes = value.get("classes", [{"name": DEFAULT_CLASS}])
        return cls(
            name=name,
            floor_slots=value["floor_slots"],
            false_ejections_per_target_week=value.get("false_ejections_per_target_week", 0.1),
            timeout_ms=value.get("timeout_ms", 2000),
            attempt_timeout_ms=value.get("attempt_timeout_ms", 1000),
            queue_limit=value.get("queue_limit", 20),
            waiting_limit=value.get("waiting_limit", 24),
            retry_ratio=value.get("retry_ratio", 0.1),
            retry_burst=BURST,
            fleet_ratio=value.get("retry_ratio", 0.1),
            slow_start_s=value.get("slow_start_s", 5.0),
            shed_status=value.get("shed_status"),
            far_loss_per_kb=value.get("far_loss_per_kb", FAR_LOSS_PER_KB),
            classes=tuple(TrafficClass(c["name"], c.get("reserved", 0.0)) for c in classes),
        )

    def class_of(self, route: Route, customer: Customer | None = None) -> str:
        """Return the traffic class of a request; the customer's takes precedence over the route's.

        If the service has combined classes, the route's class orders requests within a customer
        class. A request without any class of the service is in its least important one.
        """
        own = route.traffic_class or self.classes[-1].name
        named = (customer.traffic_class if customer is not None else None) or own
        known = {entry.name for entry in self.classes}
        both = joined_class(named, own)
        if both in known:
            return both
        return named if named in known else own


class Target(NamedTuple):
    """One target; `address` is `ip:port`.

    Args:
        instance: Id by which requests name it, empty if the fleet has no such ids.
    """

    name: str
    service: str
    vm: str
    address: str
    slots: int
    connections: int
    hall: str | None
    labels: Labels
    leaving: bool
    instance: str = ""

    @classmethod
    def from_config(cls, name: str, value: Any) -> "Target":
        """Build a target from its validated JSON value."""
        return cls(
            name=name,
            service=value["service"],
            vm=value["vm"],
            address=value["address"],
            slots=value["slots"],
            connections=value.get("connections", 200),
            hall=value.get("hall"),
            labels=value.get("labels", {}),
            leaving=value.get("leaving", False),
        )


class Fleet:
    """Services, targets, routes and selectors of one revision; immutable once built.

    Args:
        revision: Number of the revision, 0 for none.
        digest: Hash of the revision's manifest.
        customers: Customers whose API keys callers present; if empty, no key is needed.
        sharing: Ways of sharing capacity under load that are in force.

    Attributes:
        size: Number of VMs that run targets.
    """

    def __init__(
        self,
        services: Mapping[str, Service],
        targets: Mapping[str, Target],
        routes: Mapping[str, Route],
        selectors: Sequence[Selector],
        *,
        revision: int = 0,
        digest: str = "",
        customers: Customers | None = None,
        sharing: Sharing = OFF,
    ) -> None:
        self.customers = customers or Customers()
        self.sharing = sharing
        self.revision = revision
        self.digest = digest
        self.services = services
        self.targets = targets
        self.routes = routes
        self.selectors = selectors
        self._table = RouteTable(routes.values())
        self._by_service: dict[str, list[Target]] = {name: [] for name in services}
        for target in targets.values():
            self._by_service[target.service].append(target)
        self.size = len({target.vm for target in targets.values()})
        self._groups: dict[tuple[str, str, int], tuple[tuple[str, ...], ...]] = {}
        self._lock = threading.Lock()

    @classmethod
    def empty(cls) -> "Fleet":
        """Return the fleet of a node that has no revision yet."""
        return cls({}, {}, {}, ())

    @classmethod
    def from_documents(
        cls, texts: Iterable[tuple[str, str]], *, revision: int = 0, digest: str = ""
    ) -> "Fleet":
        """Build a fleet from the documents of a revision.

        Args:
            texts: Name and text (JSON with comments) of each document.

        Raises:
            DocumentError: With every problem found.
        """
        merged: dict[str, Any] = {name: {} for name in _NAMED_SECTIONS} | {
            "selectors": [],
            "salts": set(),
            "sharing": {},
        }
        problems: list[str] = []
        for name, text in texts:
            value, errors = jsonc.parse(text)
            errors = errors or _schema_problems(value)
            problems += [f"{name}: {error}" for error in errors]
            if not errors:
                problems += _merge(merged, name, value)
        if problems:
            raise DocumentError(f"revision {revision}", problems)
        fleet_problems = _cross_check(merged)
        if fleet_problems:
            raise DocumentError(f"revision {revision}", fleet_problems)
        try:
            customers = Customers.from_config("".join(merged["salts"]), merged["customers"])
        except CustomerError as error:
            raise DocumentError(f"revision {revision}", [f"$.customers: {error}"]) from error
        return cls(
            {name: Service.from_config(name, v) for name, v in merged["services"].items()},
            {name: Target.from_config(name, v) for name, v in merged["targets"].items()},
            {name: Route.from_config(name, v) for name, v in merged["routes"].items()},
            tuple(Selector.from_config(value) for value in merged["selectors"]),
            revision=revision,
            digest=digest,
            customers=customers,
            sharing=Sharing.from_config(merged["sharing"]),
        )

    def find_route(self, host: str, path: str, method: str) -> Route | None:
        """Return the route that matches a request, or `None`."""
        return self._table.find(host, path, method)

    def targets_of(self, service: str) -> Sequence[Target]:
        """Return the targets of a service, empty if it is unknown."""
        return self._by_service.get(service, ())

    def targets_on(self, vm: str) -> list[Target]:
        """Return the targets that run on a VM."""
        return [target for target in self.targets.values() if target.vm == vm]

    def groups(self, route: Route, now: float, service: str = "") -> tuple[tuple[str, ...], ...]:
        """Return the targets that may serve a route at a time, as groups in order of preference.

        Args:
            route: The route.
            service: One of the route's services, empty for its only or first one.
            now: Seconds since the epoch; the result is valid for that whole minute.
        """
        minute = int(now // SECONDS_PER_MINUTE)
        name = service or route.service
        found = self._groups.get((route.name, name, minute))
        if found is not None:
            return found
        instant = datetime.fromtimestamp(minute * SECONDS_PER_MINUTE, UTC)
        labelled = (Labelled(t.name, _effective_labels(t)) for t in self.targets_of(name))
        groups = select(self.selectors, name, route.labels, labelled, instant)
        with self._lock:
            self._evict_other_minutes(minute)
            self._groups[(route.name, name, minute)] = groups
        return groups

    def may_serve(self, route_name: str, target_name: str, now: float) -> bool:
        """Return whether a target may serve a route at a time in seconds since the epoch."""
        route = self.routes.get(route_name)
        if route is None:
            return False
        target = self.targets.get(target_name)
        if target is None or target.service not in {part.service for part in route.parts}:
            return False
        return any(target_name in group for group in self.groups(route, now, target.service))

    def _evict_other_minutes(self, minute: int) -> None:
        if any(key[2] != minute for key in self._groups):
            self._groups = {key: v for key, v in self._groups.items() if key[2] == minute}


def _effective_labels(target: Target) -> Labels:
    if target.hall is None:
        return target.labels
    return {"hall": target.hall, **target.labels}


def _schema_problems(value: Any) -> list[str]:
    try:
        validate(value)
    except JsonSchemaException as error:
        return jsonc.explain("document", value) or [str(error)]
    return []


def _merge(merged: dict[str, Any], name: str, value: Any) -> list[str]:
    problems = []
    for part in _NAMED_SECTIONS:
        for key, entry in value.get(part, {}).items():
            if key in merged[part]:
                problems.append(f"{name}: $.{part}.{key}: is defined in another document too")
            merged[part][key] = entry
    merged["selectors"] += value.get("selectors", [])
    for switch, on in value.get("sharing", {}).items():
        merged["sharing"][switch] = on or merged["sharing"].get(switch, False)
    if "customer_salt" in value:
        merged["salts"].add(value["customer_salt"])
    if len(merged["salts"]) > 1:
        problems.append(f"{name}: $.customer_salt: is another one than in another document")
    return problems


def _cross_check(merged: dict[str, Any]) -> list[str]:
    problems = []
    services = merged["services"]
    for part in ("targets", "routes"):
        for key, entry in merged[part].items():
            if entry["service"] not in services:
                problems.append(f"$.{part}.{key}.service: no service '{entry['service']}'")
    for key, entry in merged["routes"].items():
        for name in entry.get("split", {}):
            if name not in services:
                problems.append(f"$.routes.{key}.split: no service '{name}'")
        problems += _check_class(key, entry, services.get(entry["service"]))
    slots: Counter[str] = Counter()
    for entry in merged["targets"].values():
        slots[entry["service"]] += entry["slots"]
    for key, service in services.items():
        problems += _check_service(key, service, slots[key])
    for index, rule in enumerate(merged["selectors"]):
        problems += _check_selector(index, rule, services)
    return problems


def _check_class(key: str, route: Any, service: Any) -> list[str]:
    if service is None or "class" not in route:
        return []
    known = [entry["name"] for entry in service.get("classes", [{"name": DEFAULT_CLASS}])]
    if route["class"] in known:
        return []
    return [f"$.routes.{key}.class: no class '{route['class']}' (known: {', '.join(known)})"]


def _check_service(key: str, service: Any, slots: int) -> list[str]:
    problems = []
    if service["floor_slots"] > slots:
        problems.append(
            f"$.services.{key}.floor_slots: {service['floor_slots']} is more than "
            f"the {slots} slots of its targets"
        )
    reserved = sum(entry.get("reserved", 0.0) for entry in service.get("classes", ()))
    if reserved > 1.0:
        problems.append(f"$.services.{key}.classes: reserved shares add up to more than 1")
    return problems


def _check_selector(index: int, rule: Any, services: Mapping[str, Any]) -> list[str]:
    problems = []
    if rule.get("service") not in (None, *services):
        problems.append(f"$.selectors[{index}].service: no service '{rule['service']}'")
    for window in rule.get("when", ()):
        if not known_zone(window["zone"]):
            problems.append(f"$.selectors[{index}].when: no time zone '{window['zone']}'")
    return problems
