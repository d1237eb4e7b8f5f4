"""Shared code of the commands: exit codes, output and access to the administration API."""

import json
from abc import abstractmethod
from datetime import datetime
from pathlib import Path
from typing import Any

import urllib3
from cleo.commands.command import Command
from cleo.helpers import argument, option

from roadpass.cli._output import Row, as_json, table
from roadpass.customer import may_be_key
from roadpass.errors import AdminError, CustomerError, DocumentError, RoadpassError, SettingsError
from roadpass.fleet import Fleet

EXIT_OK = 0
EXIT_FINDING = 1
EXIT_ERROR = 2
API_LIMIT_S = 5.0
EXIT_HELP = "\nExit codes: 0 success, 1 negative result, 2 invalid input or no response."

JSON_OPTION = option("json", None, "Print JSON for programs.")
NODE_ARGUMENT = argument("node", "Administration address of a node, ip:port.")


class BaseCommand(Command):
    """A command that reports roadpass errors with a message and an exit code."""

    def handle(self) -> int:
        """Run the command; errors are printed and give `EXIT_ERROR`."""
        try:
            return self.run_command()
        except (DocumentError, SettingsError) as error:
            for problem in error.problems:
                self.line_error(f"<error>{problem}</error>")
        except (RoadpassError, ValueError, OSError) as error:
            self.line_error(f"<error>{error}</error>")
        return EXIT_ERROR

    @abstractmethod
    def run_command(self) -> int:
        """Run the command and return its exit code; called by `handle`."""

    @property
    def wants_json(self) -> bool:
        """Whether the option `--json` is set."""
        return bool(self.option("json"))

    def show(self, value: Any, heads: list[str], rows: list[Row]) -> None:
        """Print `value` as JSON with `--json`, otherwise `rows` as a table."""
        if self.wants_json:
            self.line(as_json(value))
            return
        for line in table(heads, rows):
            self.line(line)


def read_key(path: str) -> str:
    """Return the key in a file, without its line ending.

    Raises:
        CustomerError: The content cannot be a key that a request sends.
        OSError: The file cannot be read.
    """
    key = Path(path).read_text(encoding="utf-8", errors="replace").rstrip("\r\n")
    if not may_be_key(key):
        raise CustomerError(f"{path} does not contain a valid key.")
    return key


def load_fleet(paths: list[str]) -> Fleet:
    """Build a fleet from files, or from all `.jsonc` and `.json` files of folders.

    Raises:
        DocumentError: The documents are invalid, or there are none.
        OSError: A file cannot be read.
    """
    files: list[Path] = []
    for path in map(Path, paths):
        found = sorted([*path.glob("*.jsonc"), *path.glob("*.json")]) if path.is_dir() else [path]
        files += found
    if not files:
        raise DocumentError(", ".join(paths), ["no documents found"])
    return Fleet.from_documents([(file.name, file.read_text(encoding="utf-8")) for file in files])


def read_node(node: str, page: str) -> Any:
    """Fetch a page of a node's administration API and decode its JSON.

    Raises:
        AdminError: The node sent no response, or one that is not JSON.
    """
    try:
        response = urllib3.request(
            "GET", f"http://{node}{page}", timeout=API_LIMIT_S, retries=False
        )
        return json.loads(response.data)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise AdminError(f"No answer from {node}: {error}.") from error


def parse_instant(text: str | None) -> datetime:
    """Parse an instant, in local time unless it names a time zone; now if there is no text.

    Raises:
        ValueError: The text is not in ISO 8601 format.
    """
    if not text:
        return datetime.now().astimezone()
    return datetime.fromisoformat(text).astimezone()
