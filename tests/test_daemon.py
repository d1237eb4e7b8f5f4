"""The daemon's start: settings may change, and be told of by SIGHUP, from its first moment on."""

import signal
import subprocess
import sys
from pathlib import Path

import pytest

from roadpass import clock, daemon

SLOW = ("roadpass.node", "pykka", "h11", "cheroot", "urllib3", "fastjsonschema")


def test_what_takes_long_is_imported_once_settings_may_change() -> None:
    """Until `main` ignores SIGHUP, it ends the process: nothing slow may come before."""
    code = f"import sys, roadpass.daemon; print([m for m in {SLOW!r} if m in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_a_process_lives_through_sighup_while_it_imports(tmp_path: Path) -> None:
    """Told again and again from its first line on, it ends with its own word on bad settings."""
    code = (
        "import os, signal, threading, time\n"
        "from roadpass import daemon\n"
        "def tell():\n"
        "    while True:\n"
        "        time.sleep(0.001)\n"
        "        os.kill(os.getpid(), signal.SIGHUP)\n"
        "ignored = signal.signal\n"
        "def begin(number, how):\n"
        "    ignored(number, how)\n"
        "    threading.Thread(target=tell, daemon=True).start()\n"
        "signal.signal = begin\n"
        f"raise SystemExit(daemon.main(['--settings', {str(tmp_path / 'none')!r}]))\n"
    )
    began = clock.now()
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=False)
    assert done.returncode == daemon.EXIT_SETTINGS, done.stderr
    assert clock.now() - began < 30.0


def test_bad_settings_are_told(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    """With the file's name, and without a trace."""
    before = signal.getsignal(signal.SIGHUP)
    try:
        assert daemon.main(["--settings", str(tmp_path / "none.jsonc")]) == daemon.EXIT_SETTINGS
    finally:
        signal.signal(signal.SIGHUP, before)
    assert "none.jsonc" in capsys.readouterr().err
