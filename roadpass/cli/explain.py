"""`roadpass explain`: shows which targets a request could use, and why not the others."""

from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from roadpass.access import identify
from roadpass.cli._command import (
    EXIT_FINDING,
    EXIT_HELP,
    EXIT_OK,
    JSON_OPTION,
    BaseCommand,
    load_fleet,
    parse_instant,
    read_key,
    read_node,
)
from roadpass.customer import Credential
from roadpass.fleet import Fleet, Target
from roadpass.route import Route


class ExplainCommand(BaseCommand):
    """Shows the route of a request and how the selectors rank each target."""

    name = "explain"
    description = "Which targets a request could use at a given time, and why not the others."
    arguments: ClassVar[list[Argument]] = [
        argument("method", "HTTP method."),
        argument("path", "Path of the request."),
        argument("documents", "Files, or a folder of documents.", multiple=True),
    ]
    options: ClassVar[list[Option]] = [
        JSON_OPTION,
        option("host", None, "Host of the request.", flag=False, default="localhost"),
        option("at", None, "Instant in ISO 8601 format; by default now.", flag=False),
        option("key-file", None, "File with the key that the request carries.", flag=False),
        option("node", None, "Also show the target states known to this node.", flag=False),
    ]
    help = "Uses the same routing function as the daemon." + EXIT_HELP

    def run_command(self) -> int:
        """Print a row for each target of the route; `EXIT_FINDING` if none can be used."""
        fleet = load_fleet(self.argument("documents"))
        path, method = self.argument("path"), self.argument("method").upper()
        route = fleet.find_route(self.option("host"), path, method)
        if route is None:
            self.line(f"no route matches {method} {path}")
            return EXIT_FINDING
        refused = self._refusal(fleet, path, method)
        if refused:
            self.line(refused)
            return EXIT_FINDING
        instant = parse_instant(self.option("at")).timestamp()
        groups = fleet.groups(route, instant)
        states = self._states()
        rows = [
            _row(fleet, route, target, groups, states) for target in fleet.targets_of(route.service)
        ]
        if not self.wants_json:
            service = fleet.services[route.service]
            self.line(f"route {route.name}, service {service.name}, {service.class_of(route)}")
        value = {"route": route.name, "service": route.service, "targets": rows}
        heads = ["target", "use", "why", "state"]
        self.show(value, heads, [[row[head] for head in heads] for row in rows])
        return EXIT_OK if groups else EXIT_FINDING

    def _refusal(self, fleet: Fleet, path: str, method: str) -> str:
        """Return why the request's key is refused, empty if it is accepted."""
        file = self.option("key-file")
        key = read_key(file) if file else ""
        access = identify(fleet, self.option("host"), path, method, Credential(key))
        if access is None:
            return ""
        if access.refusal is not None:
            return "the route requires a key, and the request carries no key of any customer"
        if not self.wants_json:
            self.line(f"customer {access.customer.name if access.customer else '-'}")
        return ""

    def _states(self) -> dict[str, str]:
        node = self.option("node")
        if not node:
            return {}
        return {
            row["target"]: f"{row['state']} {row['reason']}".strip()
            for row in read_node(node, "/targets")
        }


def _row(
    fleet: Fleet,
    route: Route,
    target: Target,
    groups: tuple[tuple[str, ...], ...],
    states: dict[str, str],
) -> dict[str, Any]:
    group_index = next((n for n, group in enumerate(groups) if target.name in group), None)
    applicable = [s.name for s in fleet.selectors if s.applies(route.service, route.labels)]
    if target.leaving:
        use, why = "no", "it is leaving"
    elif group_index is None:
        use, why = "no", f"no active selector matches its labels (of: {', '.join(applicable)})"
    elif not applicable:
        use, why = "first", "no selector applies to this route"
    else:
        use, why = (
            ("first" if group_index == 0 else f"spill {group_index}"),
            "an active selector matches it",
        )
    return {
        "target": target.name,
        "use": use,
        "why": why,
        "state": states.get(target.name, ""),
    }
