"""What the log tells of a call, of an endpoint, or of a version."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from . import events
from .causes import cause_of, refusing_change
from .lines import LogLine, shifted

BEFORE = timedelta(seconds=10)
AFTER = timedelta(milliseconds=500)
"""What surrounded a call is shown from so long before to so long after it."""


@dataclass(frozen=True, slots=True)
class Story:
    """Lines in order, and what they come to.

    Attributes
    ----------
    lines : tuple of LogLine
        Empty if the log does not name what was asked for.
    cause : str
        One line.
    """

    lines: tuple[LogLine, ...]
    cause: str


class CallStory:
    """Tells the life of a call.

    Parameters
    ----------
    call : str
        The caller's id of it.
    """

    def __init__(self, call: str) -> None:
        self.call = call
        self.needle = f'"{call}"'.encode()

    def wanted(self, event: str, raw: bytes) -> bool:
        """Choose the call's lines, and all that may have surrounded it."""
        return event not in events.CALL_EVENTS or self.needle in raw

    def tell(self, lines: Sequence[LogLine]) -> Story:
        """Return the call's lines with what surrounded them."""
        own = [line for line in lines if line.fields.get("call") == self.call]
        if not own:
            return Story((), cause_of(()))
        begin, end = lifetime(own)
        used = {name for line in own for name in endpoints_of(line)}
        where = {line.instance for line in own}
        refusing = refusing_change(own[-1], lines)
        shown = [
            line
            for line in lines
            if line.fields.get("call") == self.call
            or line is refusing
            or (
                line.instance in where
                and begin <= line.time <= end
                and surrounds(line, used)
            )
        ]
        return Story(tuple(shown), cause_of(shown))


class EndpointStory:
    """Tells what was believed of an endpoint, and how calls fared there.

    Parameters
    ----------
    endpoint : str
        Its id.
    """

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint
        self.needle = endpoint.encode()

    def wanted(self, event: str, raw: bytes) -> bool:
        """Choose the lines that name the endpoint."""
        return self.needle in raw

    def tell(self, lines: Sequence[LogLine]) -> Story:
        """Return beliefs and failures; served calls are only counted."""
        named = [line for line in lines if self.endpoint in endpoints_of(line)]
        if not named:
            return Story((), "no line names it")
        shown = [line for line in named if line.event != events.SERVED]
        served = sum(line.event == events.SERVED for line in named)
        return Story(tuple(shown), self._verdict(shown, served))

    def _verdict(self, shown: Sequence[LogLine], served: int) -> str:
        failed = [
            line
            for line in shown
            if line.event in events.ATTEMPT_FAILURES
            and line.text("endpoint") == self.endpoint
        ]
        kinds = Counter(line.text("kind") for line in failed)
        how = ", ".join(f"{count} {kind}" for kind, count in kinds.most_common())
        beliefs = [line for line in shown if line.event not in events.CALL_EVENTS]
        last = f"; last belief: {beliefs[-1].message}" if beliefs else ""
        return (
            f"{served} served calls used it, {len(failed)} attempts there failed"
            + (f" ({how})" if how else "")
            + last
        )


class VersionStory:
    """Tells where a version of the configuration came into force, and what it did.

    Parameters
    ----------
    version : int
        Of the configuration.
    """

    def __init__(self, version: int) -> None:
        self.version = version
        self.needle = f":{version}".encode()

    def wanted(self, event: str, raw: bytes) -> bool:
        """Choose the lines that may name the version, and restores of the store."""
        return self.needle in raw or event == events.STORE_RESTORED

    def tell(self, lines: Sequence[LogLine]) -> Story:
        """Return where it was taken and what failed by it; the rest is counted."""
        named = [line for line in lines if line.fields.get("version") == self.version]
        calls = Counter(
            line.event for line in named if line.event in events.CALL_EVENTS
        )
        taken = [line for line in named if line.event == events.TABLE_TAKEN]
        kept_out = [line for line in named if line.event == events.TABLE_KEPT]
        told = taken + kept_out
        told += [
            line
            for line in named
            if line.event == events.UNREADABLE
            or (line.event == events.PULLED and is_configuration(line))
        ]
        if not told and not calls:
            return Story((), "no line names it")
        shown = told + [line for line in named if line.event == events.REFUSED]
        shown += [line for line in lines if line.event == events.STORE_RESTORED]
        shown.sort(key=lambda line: line.time)
        verdict = verdict_on_version(taken, calls)
        return Story(tuple(shown), "; ".join([verdict, *kept_out_by(kept_out)]))


def verdict_on_version(taken: Sequence[LogLine], calls: Counter[str]) -> str:
    """Return how a version spread and how calls fared by it."""
    spread = "no line tells that it was taken"
    if taken:
        instances = {line.instance for line in taken}
        lasted = (taken[-1].instant - taken[0].instant) // timedelta(milliseconds=1)
        sources = Counter(line.text("source") for line in taken)
        by = ", ".join(f"{count} by {source}" for source, count in sources.items())
        spread = (
            f"in force on {len(instances)} instances within {lasted} ms ({by})"
            + "".join(f"; {each}" for each in changes_of(taken))
        )
    return (
        f"{spread}; by it {calls[events.SERVED]} calls were served, "
        f"{calls[events.NOT_SERVED]} were not, {calls[events.REFUSED]} were refused "
        f"by routing"
    )


def kept_out_by(kept_out: Sequence[LogLine]) -> list[str]:
    """Return why a version of a restored store was not applied, if it was not."""
    if not kept_out:
        return []
    instances = {line.instance for line in kept_out}
    eras = sorted({line.number("era") for line in kept_out})
    reasons = {line.text("why"): line.number("kept") for line in kept_out}
    why = ", ".join(f"{reason}, {kept} in force" for reason, kept in reasons.items())
    named = ", ".join(map(str, eras))
    return [f"not applied on {len(instances)} instances in era {named} ({why})"]


def changes_of(taken: Sequence[LogLine]) -> list[str]:
    """Return what a version changed, once for each version that it replaced.

    An instance that passed versions over tells of their changes too.
    """
    told = [(line.text("before"), line.text("changes")) for line in taken]
    return [
        f"against version {before} it changed {changes}"
        for before, changes in dict.fromkeys(told)
        if before and changes
    ]


def is_configuration(line: LogLine) -> bool:
    """Return whether what was pulled is a configuration."""
    return "configuration" in line.text("matter")


def endpoints_of(line: LogLine) -> set[str]:
    """Return all endpoints that a line names."""
    named = {line.text("endpoint"), *line.names("endpoints"), *line.names("helpers")}
    return named - {""}


def surrounds(line: LogLine, used: set[str]) -> bool:
    """Return whether a line may matter to a call that used some endpoints."""
    if line.event in events.CALL_EVENTS:
        return False
    if line.event in events.SURROUNDINGS or line.fields.get("endpoint") in used:
        return True
    return line.event in events.COLD_BOUNDS and not used.isdisjoint(endpoints_of(line))


def lifetime(own: Sequence[LogLine]) -> tuple[str, str]:
    """Return from when to when a call's surroundings are shown."""
    last = own[-1]
    lasted = timedelta(milliseconds=last.number("total_ms") or last.number("after_ms"))
    begin = min(own[0].time, shifted(last.time, -lasted))
    return shifted(begin, -BEFORE), shifted(last.time, AFTER)
