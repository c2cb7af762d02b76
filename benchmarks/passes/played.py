"""Calls of a played day, read from the lines that its instances wrote.

A line of a served or unserved call has its prompt's length, the endpoints that it was
sent to, the helpers of its last attempt, when it was placed, its first event and its
largest pause. What placement foretold is not in the line; `forecasts` works it out
from the other calls.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

CALL_EVENTS = ("MF2010", "MF2011")
"""Events of a call's end, served or not."""
BODY = '{"time"'


@dataclass(frozen=True, slots=True)
class SeenCall:
    """One streamed call as an instance saw it.

    Attributes
    ----------
    at_s : float
        When it arrived, in seconds of the day.
    waited_ms, first_ms, pause_ms : float or None
        From its arrival until its first place and its first event, and its largest
        pause; None for what did not come.
    total_ms : float
        From its arrival until its end.
    endpoints : tuple of str
        Hosts in the order that they were tried.
    helpers : tuple of str
        Of the last attempt.
    events : int
        Sent to the caller.
    """

    instance: str
    route: str
    account: str
    at_s: float
    prompt_tokens: int
    endpoints: tuple[str, ...]
    helpers: tuple[str, ...]
    events: int
    waited_ms: float | None
    first_ms: float | None
    pause_ms: float | None
    total_ms: float
    served: bool

    @property
    def ended_s(self) -> float:
        """When it ended."""
        return self.at_s + self.total_ms / 1e3

    @property
    def engines(self) -> tuple[str, ...]:
        """Last host and its helpers; empty if it never had a place."""
        return (*self.endpoints[-1:], *self.helpers)


def read_log(path: Path) -> list[SeenCall]:
    """Return the streamed calls of a day's output, in the order of their arrival.

    Other lines, and those that were cut, are passed over.
    """
    with path.open(encoding="utf-8") as lines:
        calls = [call for line in lines if (call := seen_call(line)) is not None]
    return sorted(calls, key=lambda call: call.at_s)


def seen_call(line: str) -> SeenCall | None:
    """Return the streamed call of whose end a line tells, or None."""
    head, mark, _ = line.partition(BODY)
    if not mark:
        return None
    try:
        entry = json.loads(line[len(head) :])
    except ValueError:
        return None
    fields: Mapping[str, Any] = entry.get("fields", {})
    if entry.get("event") not in CALL_EVENTS or not fields.get("prompt_tokens"):
        return None
    ended_s, instance = head.split()[:2]
    total_ms = float(fields["total_ms"])
    return SeenCall(
        instance=instance,
        route=fields["route"],
        account=fields.get("account", ""),
        at_s=float(ended_s) - total_ms / 1e3,
        prompt_tokens=fields["prompt_tokens"],
        endpoints=split(fields.get("endpoints")),
        helpers=split(fields.get("helpers")),
        events=fields.get("events", 0),
        waited_ms=fields.get("waited_ms"),
        first_ms=fields.get("first_ms"),
        pause_ms=fields.get("pause_ms"),
        total_ms=total_ms,
        served=entry["event"] == CALL_EVENTS[0],
    )


def split(text: str | None) -> tuple[str, ...]:
    """Return the names of a list in a line."""
    return tuple(text.split(",")) if text else ()


def instances_of(calls: Iterable[SeenCall]) -> tuple[str, ...]:
    """Return all instances that calls came to, in the order of their names."""
    return tuple(sorted({call.instance for call in calls}))


def engines_of(calls: Iterable[SeenCall]) -> tuple[str, ...]:
    """Return all endpoints that calls were on, in the order of their names."""
    names = {name for call in calls for name in (*call.endpoints, *call.helpers)}
    return tuple(sorted(names))
