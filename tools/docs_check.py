"""Compare the docs with the code: ``python -m tools.docs_check [--write]``.

The reference pages of events, metrics, settings and commands are written from the
code; every other page may only name what the code has.
"""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

from mimosafork.telemetry.events import all_events
from mimosafork.telemetry.metrics import all_instruments

from . import telemetry_calls
from .pages.commands import PROGRAM, announced, commands_page, leaves, root_command
from .pages.events import events_page
from .pages.gateway_settings import gateway_settings_page
from .pages.metrics import metrics_page
from .pages.page import Page
from .pages.settings import manifest_page, settings_page
from .references import dangling_commands, dangling_events, dangling_metrics

ROOT = Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src" / PROGRAM
CATALOGUE = SOURCE / "telemetry" / "catalogue"


def main(argv: Sequence[str] | None = None) -> int:
    """Write or check the pages.

    Parameters
    ----------
    argv : sequence of str, optional
        The command line, that of the process if absent.

    Returns
    -------
    int
        0 if docs and code agree.
    """
    parser = argparse.ArgumentParser(prog="python -m tools.docs_check")
    parser.add_argument("--write", action="store_true", help="write the pages")
    options = parser.parse_args(argv)
    pages = generated_pages()
    for page in pages:
        if page.text is None:
            print(f"{page.path}: the code that it describes is not there yet")
    for name in sorted(announced()):
        print(f"{name}: announced, not there yet")
    if options.write:
        write(pages, ROOT)
    complaints = disagreements(pages)
    for each in complaints:
        print(each)
    print(f"docs: {len(complaints)} disagreements with the code")
    return 1 if complaints else 0


def generated_pages() -> list[Page]:
    """Return all pages that are written from the code."""
    return [
        events_page(),
        metrics_page(),
        settings_page(),
        gateway_settings_page(),
        manifest_page(),
        commands_page(),
    ]


def disagreements(pages: Sequence[Page]) -> list[str]:
    """Compare docs and code in all respects.

    Parameters
    ----------
    pages : sequence of Page
        As the code would have them.

    Returns
    -------
    list of str
        A complaint for each disagreement.
    """
    idle = telemetry_calls.unused(sources())
    return [
        *outdated(pages, ROOT),
        *dangling(),
        *telemetry_calls.check(sources()),
        *telemetry_calls.unnumbered(operated_sources()),
        *(f"{each} is in the catalogue and no code uses it" for each in idle),
    ]


def sources() -> list[Path]:
    """List the product's source files, without the catalogue itself."""
    found = sorted(SOURCE.rglob("*.py"))
    return [each for each in found if CATALOGUE not in each.parents]


def operated_sources() -> list[Path]:
    """List the source files whose log lines operators see: all but stand-ins."""
    return [each for each in sources() if "standin" not in str(each.relative_to(ROOT))]


def write(pages: Sequence[Page], root: Path) -> None:
    """Write the pages whose code is there.

    Parameters
    ----------
    pages : sequence of Page
        As the code would have them.
    root : Path
        The repository.
    """
    for page in pages:
        if page.text is not None:
            path = root / page.path
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(page.text, "utf-8")


def outdated(pages: Sequence[Page], root: Path) -> list[str]:
    """Find pages that differ from what the code would have.

    Parameters
    ----------
    pages : sequence of Page
        As the code would have them.
    root : Path
        The repository.

    Returns
    -------
    list of str
        A complaint for each.
    """
    complaints = []
    for page in pages:
        path = root / page.path
        current = path.read_text("utf-8") if path.exists() else None
        if current != page.text:
            state = "differs from the code" if page.text else "describes nothing"
            complaints.append(f"{page.path} {state}; run make docs")
    return complaints


def dangling() -> list[str]:
    """Find references in the pages to what the code does not have.

    Returns
    -------
    list of str
        A complaint for each.
    """
    pages = [*sorted((ROOT / "docs").rglob("*.md")), *sorted(ROOT.glob("*.md"))]
    metrics = {each.exposed_name for each in all_instruments()}
    complaints = list(dangling_events(pages, {each.code for each in all_events()}))
    complaints += dangling_metrics(pages, metrics)
    command = root_command()
    if command is not None:
        known = {name for name, _ in leaves(command, PROGRAM)} | announced()
        complaints += dangling_commands(pages, known)
    return complaints


if __name__ == "__main__":
    sys.exit(main())
