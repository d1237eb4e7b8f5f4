"""`roadpass plan`: shows what changes between two sets of documents."""

from collections.abc import Mapping
from typing import Any, ClassVar, NamedTuple

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from roadpass.cli._command import (
    EXIT_HELP,
    EXIT_OK,
    JSON_OPTION,
    BaseCommand,
    load_fleet,
    parse_instant,
)
from roadpass.customer import Customers
from roadpass.fleet import Fleet


class Difference(NamedTuple):
    """One difference; `what` names a part of the documents, or a route's targets."""

    what: str
    name: str
    before: str
    after: str


def differences(old: Fleet, new: Fleet, instant: float) -> list[Difference]:
    """Compare two fleets by section, and the targets that each route uses at an instant."""
    found: list[Difference] = []
    for what in ("services", "targets", "routes"):
        found += _compare(what, getattr(old, what), getattr(new, what))
    found += _customers(old.customers, new.customers)
    one = {rule.name: rule for rule in old.selectors}
    other = {rule.name: rule for rule in new.selectors}
    found += _compare("selectors", one, other)
    for name in sorted({*old.routes, *new.routes}):
        before, after = _targets(old, name, instant), _targets(new, name, instant)
        if before != after:
            found.append(Difference("route gets", name, before, after))
    return found


def _compare(what: str, old: Mapping[str, Any], new: Mapping[str, Any]) -> list[Difference]:
    found = []
    for name in sorted({*old, *new}):
        one, other = old.get(name), new.get(name)
        if one is None or other is None:
            before = "there" if one is not None else "-"
            found.append(Difference(what, name, before, "there" if other is not None else "-"))
        elif one != other:
            found += [
                Difference(what, f"{name}.{field}", str(before), str(after))
                for field, before, after in zip(one._fields, one, other, strict=True)
                if before != after
            ]
    return found


def _customers(old: Customers, new: Customers) -> list[Difference]:
    """Compare customers and count the keys that each gains and loses; digests are not shown."""
    found = _compare("customers", old.by_name, new.by_name)
    for name in sorted({*old.by_name, *new.by_name}):
        before, after = old.keys_of(name), new.keys_of(name)
        if before != after:
            removed, added = len(before - after), len(after - before)
            change = f"{len(after)}: {added} new, {removed} withdrawn"
            found.append(Difference("keys of", name, str(len(before)), change))
    return found


def _targets(fleet: Fleet, route_name: str, instant: float) -> str:
    route = fleet.routes.get(route_name)
    if route is None:
        return "-"
    return " | ".join(",".join(group) for group in fleet.groups(route, instant)) or "none"


class PlanCommand(BaseCommand):
    """Shows the effect of a change of documents, including the targets of routes."""

    name = "plan"
    description = "What changes between two sets of documents."
    arguments: ClassVar[list[Argument]] = [
        argument("old", "File or folder currently in force."),
        argument("new", "File or folder to publish."),
    ]
    options: ClassVar[list[Option]] = [
        JSON_OPTION,
        option("at", None, "Instant in ISO 8601 format; by default now.", flag=False),
    ]
    help = "Both sets must be valid." + EXIT_HELP

    def run_command(self) -> int:
        """Print the differences; the exit code is always `EXIT_OK`."""
        old = load_fleet([self.argument("old")])
        new = load_fleet([self.argument("new")])
        found = differences(old, new, parse_instant(self.option("at")).timestamp())
        if not found and not self.wants_json:
            self.line("nothing changes")
            return EXIT_OK
        value = [difference._asdict() for difference in found]
        self.show(value, list(Difference._fields), [list(row) for row in found])
        return EXIT_OK
