"""`roadpass check`: validates a settings file or fleet documents."""

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from roadpass import jsonc
from roadpass.cli._command import (
    EXIT_FINDING,
    EXIT_HELP,
    EXIT_OK,
    JSON_OPTION,
    BaseCommand,
    load_fleet,
)
from roadpass.cli._output import as_json
from roadpass.errors import DocumentError, SettingsError
from roadpass.settings import Settings


class CheckCommand(BaseCommand):
    """Lists every error of a settings file, or of fleet documents taken together."""

    name = "check"
    description = "Check a settings file, or fleet documents taken together."
    arguments: ClassVar[list[Argument]] = [
        argument("files", "Files, or a folder of documents.", multiple=True)
    ]
    options: ClassVar[list[Option]] = [
        JSON_OPTION,
        option("settings", None, "The file holds settings of a node."),
    ]
    help = "Prints every error with its line or JSON path." + EXIT_HELP

    def run_command(self) -> int:
        """Print all problems; `EXIT_FINDING` if there are any."""
        problems = self._problems(self.argument("files"))
        if self.wants_json:
            self.line(as_json({"valid": not problems, "problems": problems}))
        for problem in [] if self.wants_json else problems:
            self.line(problem)
        if not problems and not self.wants_json:
            self.line("valid")
        return EXIT_FINDING if problems else EXIT_OK

    def _problems(self, files: list[str]) -> list[str]:
        try:
            if self.option("settings") or _looks_like_settings(files):
                for file in files:
                    Settings.from_config(Path(file))
            else:
                load_fleet(files)
        except (SettingsError, DocumentError) as error:
            return list(error.problems)
        return []


def _looks_like_settings(files: list[str]) -> bool:
    paths = [Path(file) for file in files]
    if any(not path.is_file() for path in paths):
        return False
    values = [jsonc.parse(path.read_text(encoding="utf-8"))[0] for path in paths]
    return all(isinstance(value, dict) and "vm" in value for value in values)
