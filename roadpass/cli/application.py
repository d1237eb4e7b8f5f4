"""Entry point of the `roadpass` tool."""

import sys

from cleo.application import Application

from roadpass import __version__
from roadpass.cli._command import EXIT_HELP, EXIT_OK, BaseCommand
from roadpass.cli.check import CheckCommand
from roadpass.cli.digest_key import DigestKeyCommand
from roadpass.cli.explain import ExplainCommand
from roadpass.cli.plan import PlanCommand
from roadpass.cli.trace import TraceCommand
from roadpass.cli.watch import AuditCommand, StatusCommand, TargetsCommand


class VersionCommand(BaseCommand):
    """Prints the version of the package."""

    name = "version"
    description = "The version of the tool."
    help = "Prints one line." + EXIT_HELP

    def run_command(self) -> int:
        """Print the version and return `EXIT_OK`."""
        self.line(__version__)
        return EXIT_OK


def application() -> Application:
    """Build the command-line application with all its commands."""
    made = Application("roadpass", __version__)
    for command in (
        CheckCommand(),
        ExplainCommand(),
        PlanCommand(),
        DigestKeyCommand(),
        TraceCommand(),
        StatusCommand(),
        TargetsCommand(),
        AuditCommand(),
        VersionCommand(),
    ):
        made.add(command)
    return made


def main() -> int:
    """Run the tool with the process's arguments and return its exit code."""
    return int(application().run())


if __name__ == "__main__":
    sys.exit(main())
