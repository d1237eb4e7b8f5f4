"""Start of the daemon: SIGHUP for changed settings is safe from the first moment on."""

import signal
import subprocess
import sys
from pathlib import Path

import pytest

from roadpass import clock, daemon

SLOW_IMPORTS = ("roadpass.node", "pykka", "h11", "cheroot", "urllib3", "fastjsonschema")


def test_slow_imports_happen_after_sighup_is_ignored() -> None:
    """Until `main` ignores SIGHUP, it terminates the process, so no slow import may come before."""
    code = f"import sys, roadpass.daemon; print([m for m in {SLOW_IMPORTS!r} if m in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_process_survives_sighup_during_imports(tmp_path: Path) -> None:
    """With SIGHUP every millisecond it still exits with the status for invalid settings."""
    code = (
        "import os, signal, threading, time\n"
        "from roadpass import daemon\n"
        "def send_signals():\n"
        "    while True:\n"
        "        time.sleep(0.001)\n"
        "        os.kill(os.getpid(), signal.SIGHUP)\n"
        "ignored = signal.signal\n"
        "def begin(number, how):\n"
        "    ignored(number, how)\n"
        "    threading.Thread(target=send_signals, daemon=True).start()\n"
        "signal.signal = begin\n"
        f"raise SystemExit(daemon.main(['--settings', {str(tmp_path / 'none')!r}]))\n"
    )
    began = clock.now()
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=False)
    assert done.returncode == daemon.EXIT_SETTINGS, done.stderr
    assert clock.now() - began < 30.0


def test_invalid_settings_are_reported(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    """The message names the file."""
    before = signal.getsignal(signal.SIGHUP)
    try:
        assert daemon.main(["--settings", str(tmp_path / "none.jsonc")]) == daemon.EXIT_SETTINGS
    finally:
        signal.signal(signal.SIGHUP, before)
    assert "none.jsonc" in capsys.readouterr().err
