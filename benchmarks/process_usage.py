"""What the operating system says a process uses."""

import os
from dataclasses import dataclass
from pathlib import Path

TICK_S = 1 / os.sysconf("SC_CLK_TCK")
FIELDS_BEFORE_UTIME = 11
KIB = 1024


@dataclass(frozen=True, slots=True)
class Usage:
    """A process at one moment.

    Parameters
    ----------
    processor_s : float
        Processor time since its start, all threads, user and system.
    resident_bytes : int
        Memory in use.
    """

    processor_s: float
    resident_bytes: int
    threads: int


def usage_of(pid: int) -> Usage:
    """Return what a process has used up to now."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    # The second field holds the name in brackets and may hold blanks.
    fields = stat.rpartition(")")[2].split()
    user, system = fields[FIELDS_BEFORE_UTIME : FIELDS_BEFORE_UTIME + 2]
    status = Path(f"/proc/{pid}/status").read_text()
    values = dict(line.split(":\t", 1) for line in status.splitlines() if ":\t" in line)
    return Usage(
        processor_s=(int(user) + int(system)) * TICK_S,
        resident_bytes=int(values["VmRSS"].split()[0]) * KIB,
        threads=int(values["Threads"]),
    )
