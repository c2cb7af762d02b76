"""docs/EVENTS.md, from the catalogue of events."""

from pathlib import Path

from mimosafork.telemetry.events import (
    PREFIX,
    RANGE_SIZE,
    Event,
    all_events,
    catalogue_modules,
)

from .page import Page, code, table

PATH = Path("docs/EVENTS.md")
INTRODUCTION = """# Log events

Each log line of the product carries the number of its event. The process writes
them to stderr, a gateway to standard output, one line each, as plain text or as a
JSON object, as the settings say; [OPERATIONS.md](OPERATIONS.md) shows how to read
them. A number never changes its meaning. Credentials and callers' texts are never
logged. `make docs` writes this page from the code.
"""


def events_page() -> Page:
    """Return the page of all events, a section for each range."""
    sections = [INTRODUCTION]
    events = all_events()
    for module in catalogue_modules():
        numbers = range(module.RANGE, module.RANGE + RANGE_SIZE)
        own = [each for each in events if each.number in numbers]
        if not any(isinstance(each, Event) for each in vars(module).values()):
            continue
        title = (module.__doc__ or "").strip().splitlines()[0].rstrip(".")
        heading = f"{PREFIX}{module.RANGE // RANGE_SIZE}xx: {title}"
        sections.append(f"\n## {heading}\n\n{section(own)}")
    return Page(PATH, "".join(sections))


def section(events: list[Event]) -> str:
    """Return the table of one range.

    Parameters
    ----------
    events : list of Event
        Of the range, by number.

    Returns
    -------
    str
        A table.
    """
    header = ("event", "level", "message", "what it means", "what to do")
    return table(
        header,
        [
            (
                f"{each.code} {each.name}",
                each.level.name,
                code(each.template),
                each.meaning,
                each.action,
            )
            for each in events
        ],
    )
