"""Verify the single-file build: ``python -m tools.verify_build dist/mimosafork``.

The file is run in an environment of its own with an empty unpack directory: it must
answer ``--version`` and ``--help``, load all native libraries, and start no other
process while it loads. What that takes is printed.
"""

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from mimosafork import __version__

MEBIBYTE = 1024 * 1024
LIMIT_S = 120.0

WATCHER = """
import os
import sys

STARTS = {
    "os.fork", "os.forkpty", "os.posix_spawn", "os.exec", "os.spawn", "os.system",
    "pty.spawn", "subprocess.Popen",
}


def watch(event, arguments):
    if event in STARTS:
        sys.__stderr__.write(f"a process was started: {event} {arguments}\\n")
        sys.__stderr__.flush()
        os._exit(99)


sys.addaudithook(watch)
"""
"""Runs first in the checked process and ends it if it starts another one."""

IMPORT_ALL = """
import cherrypy, google.protobuf, grpc, httptools, msgspec, prometheus_client
import pydantic, typer, urllib3
import opentelemetry.sdk.metrics, opentelemetry.exporter.prometheus
import mimosafork.cli.main, mimosafork.telemetry.metrics
fields = dict(line.split(":", 1) for line in open("/proc/self/status"))
print(fields["VmRSS"].split()[0])
"""
"""Loads every library; prints the resident memory in KiB."""


class VerificationError(Exception):
    """The built file does not do what it must."""


@dataclass(frozen=True, slots=True)
class Run:
    """One run of the built file.

    Parameters
    ----------
    output : str
        What it printed.
    duration_s : float
        Wall time in seconds.
    """

    output: str
    duration_s: float


def run(file: Path, arguments: Sequence[str], environment: dict[str, str]) -> Run:
    """Run the built file.

    Parameters
    ----------
    file : Path
        The built file.
    arguments : sequence of str
        Of the command line.
    environment : dict of str to str
        The whole environment.

    Returns
    -------
    Run
        What it printed and how long it took.

    Raises
    ------
    VerificationError
        If it exits with another code than 0 or takes too long.
    """
    begin = time.monotonic()
    try:
        done = subprocess.run(
            [str(file), *arguments],
            capture_output=True,
            check=False,
            env=environment,
            text=True,
            timeout=LIMIT_S,
        )
    except subprocess.TimeoutExpired as error:
        raise VerificationError(f"{arguments} took over {LIMIT_S} s") from error
    duration_s = time.monotonic() - begin
    if done.returncode != 0:
        raise VerificationError(
            f"{arguments} exited with {done.returncode}: {done.stderr.strip()}"
        )
    return Run(done.stdout, duration_s)


def environment_for(unpacked: Path, watcher: Path) -> dict[str, str]:
    """Return an environment without anything of the developer's own.

    Parameters
    ----------
    unpacked : Path
        Where the file unpacks its libraries.
    watcher : Path
        Folder of the module that Python runs first.

    Returns
    -------
    dict of str to str
        With the search path, so that the interpreter is found.
    """
    return {
        "PATH": os.environ["PATH"],
        "SHIV_ROOT": str(unpacked),
        "PYTHONPATH": str(watcher),
        "HOME": str(unpacked),
    }


def size_of(folder: Path) -> int:
    """Return the bytes of all files below a folder."""
    return sum(each.stat().st_size for each in folder.rglob("*") if each.is_file())


def check_watcher(environment: dict[str, str]) -> None:
    """Check that the watcher notices a process that is started.

    Parameters
    ----------
    environment : dict of str to str
        That of the checked runs.

    Raises
    ------
    VerificationError
        If it does not, so that a silent run would prove nothing.
    """
    code = "import subprocess; subprocess.run(['true'])"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=False, env=environment
    )
    if b"a process was started" not in done.stderr:
        raise VerificationError("the watcher does not notice started processes")


def verify(file: Path, root: Path) -> list[str]:
    """Run all checks.

    Parameters
    ----------
    file : Path
        The built file.
    root : Path
        An empty folder.

    Returns
    -------
    list of str
        What was measured, a line each.

    Raises
    ------
    VerificationError
        At the first check that fails.
    """
    unpacked, watcher = root / "unpacked", root / "watcher"
    watcher.mkdir()
    (watcher / "sitecustomize.py").write_text(WATCHER, "utf-8")
    environment = environment_for(unpacked, watcher)
    check_watcher(environment)
    first = run(file, ["--version"], environment)
    if first.output.split() != ["mimosafork", __version__]:
        raise VerificationError(f"--version answered {first.output!r}")
    second = run(file, ["--version"], environment)
    if "serve" not in run(file, ["--help"], environment).output:
        raise VerificationError("--help does not list the commands")
    inner = environment | {"SHIV_INTERPRETER": "1"}
    memory_kib = int(run(file, ["-c", IMPORT_ALL], inner).output)
    return [
        f"file: {file.stat().st_size / MEBIBYTE:.1f} MiB",
        f"unpacked with compiled modules: {size_of(unpacked) / MEBIBYTE:.1f} MiB",
        f"--version, first start: {first.duration_s:.2f} s",
        f"--version, further start: {second.duration_s:.2f} s",
        f"resident with all libraries loaded: {memory_kib / 1024:.1f} MiB",
        "started processes: none",
    ]


def main() -> int:
    """Verify the file that the command line names.

    Returns
    -------
    int
        0 if it does what it must.
    """
    file = Path(sys.argv[1]).resolve()
    with tempfile.TemporaryDirectory() as folder:
        try:
            lines = verify(file, Path(folder))
        except VerificationError as error:
            print(f"{file.name}: {error}")
            return 1
    print("\n".join(lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
