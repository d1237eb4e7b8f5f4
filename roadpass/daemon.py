"""`roadpassd`: one process of the fleet.

Slow imports are done in `main`, after SIGHUP no longer terminates the process. They take a tenth of
a second or more, and a SIGHUP for changed settings may arrive in that time.
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
"""Environment variable with the path of the settings file, used without the option."""


def main(arguments: list[str] | None = None) -> int:
    """Run until SIGTERM or SIGINT; SIGHUP reloads the settings file.

    Returns:
        2 for invalid settings; otherwise it does not return. The process exits with status 0 if the
        shutdown drained all requests, 1 if it reached the stop limit first.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from roadpass import log
    from roadpass.allocator import return_freed_buffers
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
    return_freed_buffers()
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
    clean = node.drain()
    node.stop()
    _exit_process(EXIT_OK if clean else EXIT_CUT)


def _exit_process(code: int) -> NoReturn:
    """Write the rest of the log and exit without the interpreter's shutdown.

    That waits for all threads, which took time needed for responses, and sometimes so long that the
    process was killed.
    """
    from roadpass import log

    log.flush(log.EXIT_LIMIT_S)
    os._exit(code)


if __name__ == "__main__":
    sys.exit(main())
