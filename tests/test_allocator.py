"""Memory of a process that frees long buffers. Guards against memory that freed buffers keep."""

import subprocess
import sys

import pytest

from roadpass.allocator import return_freed_buffers

LARGE_BYTES = 14 << 20
THREADS = 6
PROGRAM = f"""
import threading
from pathlib import Path
from roadpass.allocator import return_freed_buffers

def free_buffers(ready, done):
    for size in ({LARGE_BYTES}, {LARGE_BYTES}):
        buffer = b"x" * size
        ready.wait()
        del buffer
    done.wait()

return_freed_buffers()
ready, done = threading.Barrier({THREADS}), threading.Barrier({THREADS} + 1)
threads = [threading.Thread(target=free_buffers, args=(ready, done)) for _ in range({THREADS})]
for thread in threads:
    thread.start()
threading.Event().wait(1.0)
for line in Path("/proc/self/status").read_text().splitlines():
    if line.startswith("RssAnon:"):
        print(int(line.split()[1]) * 1024)
done.wait()
"""


@pytest.mark.skipif(not return_freed_buffers(), reason="the C library has no such setting")
def test_freed_buffers_are_returned() -> None:
    """Guards against the failure "large responses": the arena of each thread kept freed buffers."""
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True
    )
    assert int(result.stdout) < LARGE_BYTES
