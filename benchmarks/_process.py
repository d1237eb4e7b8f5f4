"""Reads the resource usage of processes that a benchmark started."""

import os
from pathlib import Path
from typing import NamedTuple

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def stolen_s() -> float:
    """Return the CPU seconds since boot that the host gave to other machines (steal time)."""
    fields = Path("/proc/stat").read_text().splitlines()[0].split()
    return int(fields[8]) / CLOCK_TICKS_PER_S


class Usage(NamedTuple):
    """CPU seconds used so far and resident memory in MB."""

    cpu_s: float
    rss_mb: float

    @classmethod
    def from_pid(cls, pid: int) -> "Usage":
        """Read the usage of a process."""
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
        status = Path(f"/proc/{pid}/status").read_text()
        rss = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return cls(cpu_s, int(rss.split()[1]) / 1024.0)
