"""`roadpassd`: one process of the fleet.

What takes long to import is imported by `main`, once SIGHUP no longer ends the process: a tenth of
a second and more, in which settings may change as in any other.
"""

import argparse
import os
import signal
import sys
import threading
from pathlib import Path
from types import FrameType
from typing import TYPE_CHECKING, NoReturn

from roadpass import __version__, clock

if TYPE_CHECKING:
    from roadpass.node import Node
    from roadpass.settings_file import SettingsFile

SWITCH_INTERVAL_S = 0.0005
TICK_S = 0.25
EXIT_OK = 0
EXIT_CUT = 1
EXIT_SETTINGS = 2
SETTINGS_VARIABLE = "ROADPASS_SETTINGS"
"""Environment variable with the path of the settings file, where no option gives it."""


def main(arguments: list[str] | None = None) -> int:
    """Run until SIGTERM or SIGINT; SIGHUP says that the settings file changed.

    Returns:
        2 for bad settings. Else the process ends with 0 after a stop that cut nothing, 1 if the
        stop limit passed first.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from roadpass import log
    from roadpass.errors import SettingsError
    from roadpass.node import Node
    from roadpass.settings import Settings
    from roadpass.settings_file import SettingsFile

    parser = argparse.ArgumentParser(prog="roadpassd", description="One roadpass node.")
    default = os.environ.get(SETTINGS_VARIABLE)
    parser.add_argument(
        "--settings",
        type=Path,
        default=default and Path(default),
        required=default is None,
        help=f"file in JSON with comments; without it ${SETTINGS_VARIABLE}",
    )
    parser.add_argument("--version", action="version", version=f"roadpassd {__version__}")
    options = parser.parse_args(arguments)
    try:
        settings = Settings.from_config(options.settings)
    except SettingsError as error:
        for problem in error.problems:
            print(f"{error.source}: {problem}", file=sys.stderr)
        return EXIT_SETTINGS
    log.set_up(settings.log_level, settings.log_format)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    _run(Node(settings), SettingsFile(options.settings, settings))


def _run(node: "Node", file: "SettingsFile") -> NoReturn:
    stopping = threading.Event()
    changed = threading.Event()

    def on_signal(number: int, _: FrameType | None) -> None:
        (changed if number == signal.SIGHUP else stopping).set()

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, on_signal)
    node.start()
    while not stopping.wait(TICK_S):
        node.tick()
        signalled = changed.is_set()
        changed.clear()
        settings = file.poll(clock.now(), signalled=signalled)
        if settings is not None:
            node.apply_settings(settings)
    node.leave()
    drained = node.drain()
    node.stop()
    _exit_process(EXIT_OK if drained else EXIT_CUT)


def _exit_process(code: int) -> NoReturn:
    """End at once, once the log is written: the interpreter's own end waits for its threads.

    That took time which answers need, and at times so long that the process was killed.
    """
    from roadpass import log

    log.flush(log.EXIT_LIMIT_S)
    os._exit(code)


if __name__ == "__main__":
    sys.exit(main())
