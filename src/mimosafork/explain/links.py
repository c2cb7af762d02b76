"""Which way between two zones attempts took that were not heard to their end."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from . import events
from .lines import LogLine
from .stories import Story

UNHEARD = frozenset({"unreached", "broken", "stalled"})
"""Kinds of failures that a broken way looks like."""


@dataclass(frozen=True, slots=True)
class Link:
    """A way from an instance's zone to an endpoint's."""

    begin: str
    end: str

    def __str__(self) -> str:
        """Return it in words."""
        if self.begin == self.end:
            return f"within {self.end}"
        return f"from {self.begin} to {self.end}"


def link_of(line: LogLine) -> Link | None:
    """Return the way of an attempt that was not heard; None for any other line."""
    begin, end = line.text("own_zone"), line.text("zone")
    if line.event not in events.ATTEMPT_FAILURES or not (begin and end):
        return None
    return Link(begin, end) if line.text("kind") in UNHEARD else None


class ZoneStory:
    """Tells what was not heard on the ways into a zone, out of it and within it.

    Parameters
    ----------
    zone : str
        An availability zone.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.needle = f'"{zone}"'.encode()

    def wanted(self, event: str, raw: bytes) -> bool:
        """Choose failed attempts, and beliefs, that name the zone."""
        beliefs = event not in events.CALL_EVENTS
        return self.needle in raw and (beliefs or event in events.ATTEMPT_FAILURES)

    def tell(self, lines: Sequence[LogLine]) -> Story:
        """Return those lines, and how often each way failed."""
        named = [line for line in lines if self.names_it(line)]
        if not named:
            return Story((), "no line names it")
        return Story(tuple(named), self._verdict(named))

    def names_it(self, line: LogLine) -> bool:
        """Return whether a line is of a way of the zone, or of a belief about it."""
        link = link_of(line)
        if link is not None:
            return self.zone in {link.begin, link.end}
        if line.event in events.CALL_EVENTS:
            return False
        return line.text("zone") == self.zone

    def _verdict(self, named: Sequence[LogLine]) -> str:
        return "; ".join([self._failures(named), *evacuation_texts(named)])

    def _failures(self, named: Sequence[LogLine]) -> str:
        pairs = [(line, link) for line in named if (link := link_of(line)) is not None]
        if not pairs:
            return "no attempt failed on a way into it, out of it or within it"
        ways = Counter(link for _, link in pairs)
        how = Counter(line.text("ending") or line.text("kind") for line, _ in pairs)
        crossed = sum(count for way, count in ways.items() if way.begin != way.end)
        return (
            f"{len(pairs)} attempts were not heard from {pairs[0][0].time} to "
            f"{pairs[-1][0].time}, {crossed} of them across its border: "
            + counts_text(ways)
            + f" ({counts_text(how)})"
        )


def counts_text(counts: Counter[Link] | Counter[str]) -> str:
    """Return counts, the largest first."""
    return ", ".join(f"{count} {what}" for what, count in counts.most_common())


def evacuation_texts(named: Sequence[LogLine]) -> list[str]:
    """Return when a zone was evacuated and on how many instances, oldest first.

    Lines of one version are of one row, or of one removal.
    """
    changes: dict[tuple[int, int], list[LogLine]] = {}
    for line in named:
        if line.event in events.EVACUATIONS:
            version = (line.number("era"), line.number("version"))
            changes.setdefault(version, []).append(line)
    return [evacuation_text(lines) for lines in changes.values()]


def evacuation_text(lines: Sequence[LogLine]) -> str:
    """Return on how many instances an evacuation began or ended, and how fast."""
    begun = lines[0].event == events.EVACUATION_STARTED
    instances = {line.instance for line in lines}
    lasted = (lines[-1].instant - lines[0].instant) // timedelta(milliseconds=1)
    what = "evacuated" if begun else "no longer evacuated"
    return (
        f"{what} from {lines[0].time} on {len(instances)} instances within {lasted} ms"
    )
