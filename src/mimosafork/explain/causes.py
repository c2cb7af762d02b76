"""The cause of a call's end, in one line."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from . import events
from .lines import LogLine
from .regions import NO_HOME_ENDPOINT, outside_regions

LONG_SHARE = 0.5
"""A pause or wait is named if it is this much of the whole time."""

MOST_ATTEMPTS = 6
"""Attempts that a cause names."""

SHORTLY_MS = 3000
"""So long before a call's end a start or a freeze of its instance is named."""

SHORTLY_AFTER_MS = 200
"""A freeze is told by the tick that ends it; calls that waited go before it."""

SHORTAGES = {
    "no endpoint is usable": "all endpoints were left alone, leaving or unlisted",
    "all slots are taken": "each usable endpoint ran as many calls as it takes",
    "the memory is promised to others": "slots may have been free, but the memory "
    "that the prompt needs was promised to calls that were placed before",
    "the prompt is larger than all memory": "no set of endpoints could hold it",
    "the time that is left is too short": "an endpoint had room, but reading the "
    "prompt behind what it had promised would have taken longer than was left",
}
"""What a shortage of placement means."""


ENDINGS = {
    "reset": "a reset",
    "closed": "closed in order",
    "timed-out": "nothing came back in time",
    "no-way": "no way to its address",
    "refused": "its machine opens no connection",
    "broken-off": "the answer ended inside an event",
}
"""How a connection ended. The other endings are this instance's own, or told by the
kind of the failure."""


@dataclass(frozen=True, slots=True)
class RefusingChange:
    """What in the changes of a configuration may have refused a call.

    Parameters
    ----------
    part : str
        Of the configuration.
    signs : tuple of str
        Of entries that are gone, or are other ones.
    """

    part: str
    signs: tuple[str, ...]

    def takes_away(self, changes: str) -> bool:
        """Return whether the changes of one part may have refused a call."""
        part, *counts = changes.split(" ")
        return part == self.part and any(each.startswith(self.signs) for each in counts)


REFUSING = {
    "unknown-key": RefusingChange("keys", ("-",)),
    "no-route": RefusingChange("routes", ("-", "~")),
}
"""By the reason of a refusal."""

SLOWER = 1.5
"""A first event is named as late if it took this many times what was expected."""


def cause_of(lines: Sequence[LogLine]) -> str:
    """Return why a call ended as it did.

    Parameters
    ----------
    lines : sequence of LogLine
        Its lines in order, and those of what surrounded it.
    """
    own = [line for line in lines if line.event in events.CALL_EVENTS]
    if not own:
        return "no line names it"
    return "; ".join([end_of(own, lines), *circumstances(own, lines)])


def end_of(own: Sequence[LogLine], lines: Sequence[LogLine]) -> str:
    """Return what the last line of a call comes to."""
    end = own[-1]
    if end.event == events.REFUSED:
        return refused(end, lines)
    if end.event == events.SERVED:
        return served(end, own)
    if end.event == events.NOT_SERVED:
        return not_served(end, own)
    return unended(lines)


def circumstances(own: Sequence[LogLine], lines: Sequence[LogLine]) -> list[str]:
    """Return what its instance went through shortly before a call's last line."""
    found = []
    for line in lines:
        before = (own[-1].instant - line.instant) // timedelta(milliseconds=1)
        if not -SHORTLY_AFTER_MS <= before <= SHORTLY_MS:
            continue
        if line.event == events.STARTING and before >= 0:
            found.append(f"its instance had started {before} ms before")
        if line.event == events.GONE and line.text("before"):
            found.append(gone_text(line, before))
        if line.event == events.FREEZE:
            late = line.text("late_ms")
            found.append(f"its instance had stood still for {late} ms just before")
    return found


def gone_text(line: LogLine, before: int) -> str:
    """Tell of an endpoint of a call that left the list."""
    when = f"{before} ms before" if before >= 0 else f"{-before} ms after"
    return f"{line.text('endpoint')} was gone {when}, having been {line.text('before')}"


def refused(end: LogLine, lines: Sequence[LogLine]) -> str:
    """Tell of a call that no route or key fits."""
    meaning = {
        "no-route": "has no route for its host and path",
        "unknown-key": "knows no account with its API key",
        "no-configuration": "there is none yet",
    }.get(end.text("reason"), end.text("reason"))
    version = end.text("version") or "none"
    age = end.fields.get("table_age_ms")
    told = f", which the store confirmed {age} ms before" if age is not None else ""
    return (
        f"refused with {end.text('status')} by {end.text('rule') or 'routing'}: "
        f"configuration {version} {meaning}{told}{refusing_text(end, lines)}"
    )


def refusing_text(end: LogLine, lines: Sequence[LogLine]) -> str:
    """Tell which configuration last took away what a refused call had needed."""
    change = refusing_change(end, lines)
    if change is None:
        return ""
    before = (end.instant - change.instant) // timedelta(milliseconds=1)
    return (
        f"; configuration {change.text('version')}, taken {before} ms before, "
        f"changed {change.text('changes')}"
    )


def refusing_change(end: LogLine, lines: Sequence[LogLine]) -> LogLine | None:
    """Return the line of the configuration that last took away keys or routes.

    The keys or routes of an earlier one were still there when that one came, so the
    latest that took any away is the one to look at first.

    Parameters
    ----------
    end : LogLine
        The refusal; any other line has no such change.
    """
    signs = REFUSING.get(end.text("reason"))
    if end.event != events.REFUSED or signs is None:
        return None
    for line in reversed(lines):
        if line.event != events.TABLE_TAKEN or line.instance != end.instance:
            continue
        parts = line.text("changes").split(", ")
        if line.time <= end.time and any(signs.takes_away(part) for part in parts):
            return line
    return None


def expected(end: LogLine) -> str:
    """Tell of a first event that came much later than placement expected."""
    expected_ms, first_ms = end.number("expected_ms"), end.number("first_ms")
    if not expected_ms or first_ms <= SLOWER * expected_ms:
        return ""
    return f"its first event after {first_ms} ms, expected after {expected_ms} ms"


def served(end: LogLine, own: Sequence[LogLine]) -> str:
    """Tell what took the time of a call that was served."""
    total = max(1, end.number("total_ms"))
    parts = [f"served with {end.text('status')} after {total} ms"]
    if end.number("waited_ms") > LONG_SHARE * total:
        parts.append(f"most of it waiting for a place ({end.text('waited_ms')} ms)")
    if end.number("pause_ms") > LONG_SHARE * total:
        parts.append(f"with a pause of {end.text('pause_ms')} ms")
    if expected(end):
        parts.append(expected(end))
    failed = [line for line in own if line.event in events.ATTEMPT_FAILURES]
    if failed:
        parts.append(f"after {len(failed)} failed attempts ({attempts_text(failed)})")
    return ", ".join(parts)


def not_served(end: LogLine, own: Sequence[LogLine]) -> str:
    """Tell why a call got no whole answer."""
    failed = [line for line in own if line.event in events.ATTEMPT_FAILURES]
    why = end.text("why")
    if why == "overloaded":
        return no_place(end, failed)
    if why in {"endpoint-failed", "no-endpoint"}:
        return given_up(end, failed)
    if why == "deadline-passed":
        return too_late(end, failed)
    if why == "caller-gone":
        return caller_gone(end)
    if why == "quarantined":
        return (
            f"refused with {end.text('status')} by {end.text('rule')}: content "
            f"{end.text('detail')}, and is kept from further ones"
        )
    if why == "shutting-down":
        return stopped(end)
    if why == NO_HOME_ENDPOINT:
        return outside_regions(end)
    return f"{why} by {end.text('rule')}: {end.text('detail')}"


def no_place(end: LogLine, failed: Sequence[LogLine]) -> str:
    """Tell which shortage refused a call, by what counts."""
    shortage = end.text("detail")
    what = f"refused with {end.text('status')}"
    if end.fields.get("cut"):
        what = f"stream broken off after {end.text('events')} events and not resumed"
    after = f" after {attempts_text(failed)}" if failed else ""
    return (
        f"{what} by {end.text('rule')}{after}: {shortage} for its "
        f"{end.text('prompt_tokens')} prompt tokens ({SHORTAGES.get(shortage, '')}); "
        f"{inputs_text(end)}"
    )


def given_up(end: LogLine, failed: Sequence[LogLine]) -> str:
    """Tell how the attempts failed, and why there was no further one."""
    how = attempts_text(failed) or "no line of its attempts"
    rule = f"{end.text('rule')} tried no more as {end.text('detail')}"
    if end.fields.get("cut"):
        return (
            f"stream broken off after {end.text('events')} events and not resumed: "
            f"{how}; {rule}"
        )
    unsafe = end.text("repeatability") == "non-idempotent"
    if unsafe and end.text("outcome") == "unknown":
        return (
            f"told {end.text('status')} as its fate is unknown: {how} after it was "
            f"sent; {rule}"
        )
    seemed = f"; {inputs_text(end)}" if end.text("outcome") == "not-run" else ""
    return f"told {end.text('status')}: {how}; {rule}{seemed}"


def stopped(end: LogLine) -> str:
    """Tell of a call that outlasted its instance's planned stop."""
    got = f"stream broken off after {end.text('events')} events"
    if not end.fields.get("cut"):
        got = f"told {end.text('status')}"
    return (
        f"{got}: its instance was asked to stop, and the call had not ended, "
        f"{end.text('total_ms')} ms after its arrival, when the time for that was over"
    )


def too_late(end: LogLine, failed: Sequence[LogLine]) -> str:
    """Tell where a call's time went."""
    before = f", after {attempts_text(failed)}" if failed else ""
    allowed = f"its {end.text('allowed_ms')} ms were over"
    where = end.names("endpoints")
    if not where:
        return (
            f"told {end.text('status')} as {allowed} while it waited for a place; "
            f"{inputs_text(end)}"
        )
    if end.fields.get("cut") or end.number("events"):
        return (
            f"stream broken off after {end.text('events')} events as {allowed}; "
            f"endpoint {where[-1]} was still writing{before}"
        )
    return (
        f"told {end.text('status')} as {allowed} and endpoint {where[-1]} had not "
        f"answered{before}"
    )


def caller_gone(end: LogLine) -> str:
    """Tell when a caller left, and what it had got."""
    got = f"{end.text('events')} events"
    if end.fields.get("first_ms") is None:
        got = "nothing: " + silence_of(end)
    allowed = end.number("allowed_ms")
    patience = ""
    if allowed and end.number("total_ms") >= allowed:
        patience = f", as its {allowed} ms were over"
    quiet = end.fields.get("since_event_ms")
    silence = f", the last of them {quiet} ms before" if quiet is not None else ""
    return (
        f"the caller closed its connection after {end.text('total_ms')} ms{patience}, "
        f"having got {got}{silence}"
    )


def silence_of(end: LogLine) -> str:
    """Return why a caller had nothing yet."""
    where = end.names("endpoints")
    if not where:
        return f"it waited for a place; {inputs_text(end)}"
    waited = end.number("waited_ms")
    foreseen = end.fields.get("expected_ms")
    due = f", its first event was expected after {foreseen} ms" if foreseen else ""
    return f"endpoint {where[-1]} had not answered, {waited} ms were spent waiting{due}"


def unended(lines: Sequence[LogLine]) -> str:
    """Tell why the line of a call's end is missing."""
    if any(line.event in events.GAPS for line in lines):
        return "the line of its end was left out or dropped; see the gaps above"
    return (
        "no line of its end: it still runs, its instance was killed, or the log is cut"
    )


def attempts_text(failed: Sequence[LogLine]) -> str:
    """Return how the attempts failed, in order; of many the first and the last."""
    texts = [attempt_text(line) for line in failed]
    if len(texts) > MOST_ATTEMPTS:
        left_out = len(texts) - MOST_ATTEMPTS
        texts[MOST_ATTEMPTS - 1 : -1] = [f"{left_out} more"]
    return "; ".join(texts)


def attempt_text(line: LogLine) -> str:
    """Return how one attempt failed."""
    endpoint, kind = line.text("endpoint"), line.text("kind")
    status = line.text("status")
    if kind == "refused" and line.text("refusal") == "elsewhere":
        return f"{endpoint} was no longer at its address"
    if kind == "refused":
        at = line.text("fault_at")
        return f"{endpoint} refused it ({status}{f', for {at}' if at else ''})"
    if kind == "engine-failed":
        return f"{endpoint} answered {status}"
    if kind == "out-of-time":
        return f"{endpoint} answered {status} as the call's time was over"
    meaning = {
        "unreached": "could not be connected to",
        "broken": "broke the connection",
        "invalid": "answered what makes no sense",
        "stalled": "fell silent",
        "deadline": "was reached too late",
        "draining": "began to leave before the call was sent",
        "backing-off": "wanted no calls when the call was to be sent",
        "peer-failed": "ran it for this instance and sent no whole answer",
        "evacuated": "or a helper was in a zone that had been evacuated when the call "
        "was to be sent",
        "outside-regions": "could no longer be used when the call was to be sent",
        "rate-limited": "had reached its rate limit when the call was to be sent",
        "cold": "might be cold and took no further call when this was to be sent",
    }.get(kind, kind)
    after = line.number("events")
    seen = f" after {after} events" if after else ""
    return f"{endpoint} {meaning}{seen}{way_text(line)}"


def way_text(line: LogLine) -> str:
    """Return how an attempt's connection ended, and between which zones it led."""
    parts = [ENDINGS.get(line.text("ending"), ""), zones_text(line)]
    told = ", ".join(part for part in parts if part)
    return f" ({told})" if told else ""


def zones_text(line: LogLine) -> str:
    """Return the zones of both ends; empty where a line does not have them."""
    own, other = line.text("own_zone"), line.text("zone")
    if not (own and other):
        return ""
    return f"within {own}" if own == other else f"from {own} to {other}"


def inputs_text(line: LogLine) -> str:
    """Return by what an instance decided, and how old that was."""
    known = (
        ("load_age_ms", "peers' load"),
        ("listing_age_ms", "the listing"),
        ("table_age_ms", "the configuration"),
    )
    ages = [(what, line.fields.get(name)) for name, what in known]
    return (
        f"it knew {line.text('usable')} usable of {line.text('listed')} endpoints, "
        f"{line.text('running')} calls of its own and {line.text('peers_running')} of "
        f"its {line.text('peers')} peers running, {line.text('waiting')} waiting; "
        + ", ".join(f"{what} {age} ms old" for what, age in ages if age is not None)
    )
