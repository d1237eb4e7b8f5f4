"""Commands that read a running node: `status`, `targets`, `audit`."""

import time
from datetime import datetime
from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from roadpass.cli._command import (
    EXIT_FINDING,
    EXIT_HELP,
    EXIT_OK,
    JSON_OPTION,
    NODE_ARGUMENT,
    BaseCommand,
    read_node,
)
from roadpass.cli._output import as_json

FOLLOW_S = 1.0


class StatusCommand(BaseCommand):
    """Shows a summary of a node's state."""

    name = "status"
    description = "The state of a node: ready, revision, members, work in flight."
    arguments: ClassVar[list[Argument]] = [NODE_ARGUMENT]
    options: ClassVar[list[Option]] = [JSON_OPTION]
    help = "Exits with 1 while the node is not ready or is leaving." + EXIT_HELP

    def run_command(self) -> int:
        """Print the status; `EXIT_FINDING` if the node is not ready or is leaving."""
        status = read_node(self.argument("node"), "/status")
        self.show(status, ["field", "value"], [[name, value] for name, value in status.items()])
        return EXIT_OK if status["ready"] and not status["leaving"] else EXIT_FINDING


class TargetsCommand(BaseCommand):
    """Shows the states of the targets as a node judges them."""

    name = "targets"
    description = "The state of each target as a node judges it, with the reason."
    arguments: ClassVar[list[Argument]] = [NODE_ARGUMENT]
    options: ClassVar[list[Option]] = [JSON_OPTION]
    help = "A node judges only the targets of services that it sends requests to." + EXIT_HELP

    def run_command(self) -> int:
        """Print one row for each target."""
        rows = read_node(self.argument("node"), "/targets")
        heads = ["target", "service", "vm", "state", "failure_score", "slow_score", "reason"]
        self.show(rows, heads, [[row[head] for head in heads] for row in rows])
        return EXIT_OK


class AuditCommand(BaseCommand):
    """Shows the audit trail and optionally follows it."""

    name = "audit"
    description = "The audit trail of a node."
    arguments: ClassVar[list[Argument]] = [NODE_ARGUMENT]
    options: ClassVar[list[Option]] = [
        JSON_OPTION,
        option("follow", "f", "Wait for new events until interrupted."),
        option("after", None, "Only events after this number.", flag=False, default="0"),
    ]
    help = "One event per line; with --json one object per line." + EXIT_HELP

    def run_command(self) -> int:
        """Print the events; with `--follow`, poll for new ones every `FOLLOW_S` seconds."""
        last = int(self.option("after"))
        while True:
            for event in read_node(self.argument("node"), f"/audit?after={last}"):
                last = event["number"]
                self.line(self._text(event))
            if not self.option("follow"):
                return EXIT_OK
            time.sleep(FOLLOW_S)

    def _text(self, event: dict[str, object]) -> str:
        if self.wants_json:
            return as_json(event).replace("\n", "")
        at = datetime.fromtimestamp(float(str(event["at"]))).strftime("%H:%M:%S.%f")[:-3]
        return f"{at}  {event['kind']}  {event['subject']}  {event['evidence']}"
