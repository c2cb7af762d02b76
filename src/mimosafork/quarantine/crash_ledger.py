"""Crashes and successes of contents, and which content explains the crashes."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from datetime import timedelta

from ..ids import AccountId, Digest, EndpointId
from ..kernel.messages.crashes import InterruptedRun, RunPhase
from .crash_record import CrashRecord
from .judgement import (
    BODY_CRASHES,
    BODY_CRASHES_WHILE_ANSWERING,
    EVIDENCE_RETENTION,
    MANY_BODIES,
    PART_CRASHES,
    SAME_MOMENT,
    UNLIKELY_PART_CRASHES,
)

MAX_RECORDS = 256
MAX_SUCCESSES = 4096
MAX_CONDEMNED = 256


class CrashLedger:
    """Merged evidence of all instances; the order of arrival does not matter.

    A crash ends many runs, and most of them have not caused it. What tells the cause is
    that it crashes every endpoint that begins to answer it, while the other contents
    of the same requests succeed elsewhere in the meantime.

    Attributes
    ----------
    records : dict of EndpointId to CrashRecord
        In the order of their first report.
    by_content : dict of Digest to dict of EndpointId
        Endpoints that interrupted runs with a content.
    successes : OrderedDict of Digest to timedelta
        Latest success of each content, least recent first.
    condemned : dict of Digest to frozenset of EndpointId
        Contents that are held to be the cause of crashes, and of which.
    """

    def __init__(self) -> None:
        self.records: dict[EndpointId, CrashRecord] = {}
        self.by_content: dict[Digest, dict[EndpointId, None]] = {}
        self.successes: OrderedDict[Digest, timedelta] = OrderedDict()
        self.condemned: dict[Digest, frozenset[EndpointId]] = {}

    # Evidence

    def add(self, endpoint: EndpointId, run: InterruptedRun) -> bool:
        """Record an interrupted run; return whether that changed anything."""
        self._forget_old(run.ended_at)
        record = self.records.get(endpoint)
        if record is None:
            self._make_room()
            record = self.records[endpoint] = CrashRecord(endpoint)
        if not record.add(run):
            return False
        for content in contents_of(run):
            self.by_content.setdefault(content, {})[endpoint] = None
        return True

    def refute(self, endpoint: EndpointId, sent_at: timedelta) -> int:
        """Record that an endpoint has answered a request that was sent at a time.

        Returns the number of interrupted runs that no longer count.
        """
        record = self.records.get(endpoint)
        if record is None:
            return 0
        dropped = record.refute(sent_at)
        self._unlink(endpoint, dropped)
        return len(dropped)

    def succeed(self, content: Digest, at: timedelta) -> bool:
        """Record a success; return whether it is newer than the last known one."""
        known = self.successes.get(content)
        if known is not None and known >= at:
            return False
        self.successes[content] = at
        self.successes.move_to_end(content)
        while len(self.successes) > MAX_SUCCESSES:
            self.successes.popitem(last=False)
        return True

    def is_suspected(self, content: Digest) -> bool:
        """Return whether any crash since its last success counts against a content."""
        return any(self._counted(content))

    def last_crash(self, part: Digest) -> timedelta | None:
        """Return the time of the last crash that counts against an unproven part.

        None without one, and for a part that has been answered before.
        """
        if part in self.successes or part not in self.by_content:
            return None
        ends = [record.ended_at for record in self._counted(part)]
        return max(ends, default=None)

    # Judgement

    def is_cause(self, content: Digest) -> bool:
        """Return whether the evidence is sufficient against a content."""
        counted = list(self._counted(content))
        if any(content in record.runs for record in counted):
            return self._is_crashing_body(content, counted)
        return self._is_crashing_part(content, counted)

    def crashes(self, content: Digest) -> frozenset[EndpointId]:
        """Return the endpoints whose crashes count against a content."""
        return frozenset(record.endpoint for record in self._counted(content))

    def accounts(self, content: Digest) -> frozenset[AccountId]:
        """Return the accounts whose requests with a part crashed endpoints.

        A body belongs to one account, and has none here.
        """
        found: set[AccountId] = set()
        for record in self._counted(content):
            runs = record.suspects_with(content, self._since(content))
            found |= {run.account for run in runs}
        return frozenset(found)

    def candidates(self, endpoint: EndpointId) -> list[Digest]:
        """Return the contents of an endpoint's runs, in the order of judgement.

        If several explain the crashes equally well, the one without a success, and of
        these the most specific one, affects the fewest other requests.
        """
        record = self.records.get(endpoint)
        if record is None:
            return []
        found: dict[Digest, int] = {}
        for run in record.runs.values():
            found[run.content] = 0
            for distance, part in enumerate(reversed(run.parts), start=1):
                found[part] = max(found.get(part, 0), distance)

        def order(content: Digest) -> tuple[bool, bool, int]:
            is_new = content not in self.condemned
            return is_new, content in self.successes, found[content]

        return sorted(found, key=order)

    def condemn(self, content: Digest) -> None:
        """Attribute the crashes that count against a content to it."""
        self.condemned[content] = self.crashes(content)
        if len(self.condemned) > MAX_CONDEMNED:
            del self.condemned[next(iter(self.condemned))]

    def release(self, content: Digest) -> None:
        """Attribute no crash to a content any more."""
        self.condemned.pop(content, None)

    def _since(self, content: Digest) -> timedelta:
        return self.successes.get(content, timedelta.min)

    def _counted(self, content: Digest) -> Iterator[CrashRecord]:
        """Return the records that count against a content."""
        since = self._since(content)
        for endpoint in self.by_content.get(content, ()):
            record = self.records[endpoint]
            run = record.runs.get(content)
            if run is None:
                counts = bool(record.suspects_with(content, since))
            else:
                counts = run.ended_at > since
            if counts and not self._is_explained(record, content):
                yield record

    def _is_explained(self, record: CrashRecord, content: Digest) -> bool:
        """Return whether a crash is attributed to another content.

        A body does not explain crashes to the parts of its own prompt: the cause may be
        one of these.
        """
        for cause, endpoints in self.condemned.items():
            if cause == content or record.endpoint not in endpoints:
                continue
            run = record.runs.get(cause)
            if run is None or content not in run.parts:
                return True
        return False

    def _is_crashing_body(self, body: Digest, counted: list[CrashRecord]) -> bool:
        phases = [record.runs[body].phase for record in counted if body in record.runs]
        begun = sum(phase is not RunPhase.ANSWERING for phase in phases)
        return begun >= BODY_CRASHES or len(phases) >= BODY_CRASHES_WHILE_ANSWERING

    def _is_crashing_part(self, part: Digest, counted: list[CrashRecord]) -> bool:
        is_proven = part in self.successes
        crashes = self._sequence(part, counted, is_proven)
        is_likely = not is_proven and not self._has_equals(part, counted)
        if len(crashes) < (PART_CRASHES if is_likely else UNLIKELY_PART_CRASHES):
            return False
        # A body that is part of each crash explains them as well; several of them at
        # once are explained best by what they have in common.
        bodies = set.intersection(*crashes)
        return not bodies or len(bodies) >= MANY_BODIES

    def _has_equals(self, part: Digest, counted: list[CrashRecord]) -> bool:
        """Return whether other parts without a success explain the crashes as well."""
        since = self._since(part)
        common = [
            {each for each in run.parts if each not in self.successes}
            for record in counted
            for run in record.suspects_with(part, since)
        ]
        return bool(common) and len(set.intersection(*common)) > 1

    def _sequence(
        self, part: Digest, counted: list[CrashRecord], is_proven: bool
    ) -> list[set[Digest]]:
        """Return the suspected bodies of each moment at which endpoints crashed.

        Endpoints that fail together have a common cause, and are noticed over some
        seconds if they fall silent. Against a part that has been answered before, only
        requests count that had begun, and that were sent after the crash before.
        """
        since = self._since(part)
        crashes: list[set[Digest]] = []
        after = timedelta.min
        for record in sorted(counted, key=lambda each: each.ended_at):
            if is_proven and not record.has_begun_runs:
                continue
            suspects = record.suspects_with(part, since)
            runs = [
                run
                for run in suspects
                if (run.sent_at if is_proven else run.ended_at) > after
            ]
            if runs:
                crashes.append({run.content for run in runs})
                after = max(run.ended_at for run in runs) + SAME_MOMENT
            elif crashes and not is_proven:
                crashes[-1] |= {run.content for run in suspects}
        return crashes

    # Limits

    def _forget_old(self, now: timedelta) -> None:
        while self.records:
            oldest = next(iter(self.records.values()))
            if now - oldest.ended_at <= EVIDENCE_RETENTION:
                return
            self._forget(oldest)

    def _make_room(self) -> None:
        while len(self.records) >= MAX_RECORDS:
            self._forget(next(iter(self.records.values())))

    def _forget(self, record: CrashRecord) -> None:
        del self.records[record.endpoint]
        self._unlink(record.endpoint, record.runs.values())

    def _unlink(self, endpoint: EndpointId, runs: Iterable[InterruptedRun]) -> None:
        """Remove an endpoint from the index of the contents of dropped runs."""
        record = self.records.get(endpoint)
        kept = set() if record is None else set(record_contents(record))
        for run in runs:
            for content in contents_of(run):
                endpoints = self.by_content.get(content)
                if endpoints is None or content in kept:
                    continue
                endpoints.pop(endpoint, None)
                if not endpoints:
                    del self.by_content[content]


def contents_of(run: InterruptedRun) -> tuple[Digest, ...]:
    """Return the body and the parts of a run."""
    return (run.content, *run.parts)


def record_contents(record: CrashRecord) -> Iterator[Digest]:
    """Return the contents of all runs of a record."""
    for run in record.runs.values():
        yield from contents_of(run)
