"""Rules that simulated calls are checked against, and the true state of the calls."""

from bisect import bisect_right
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from mimosafork.gateway.problems import NOT_RUN_STATUSES
from mimosafork.ids import Digest, EndpointId, ServiceId
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.outcomes import Conclude
from mimosafork.kernel.messages.requests import Repeatability, Request

RETRY_WINDOW = timedelta(seconds=10)
RETRY_RATIO = 0.2
RETRY_SLACK = 5.0

CRASH_LIMIT = 3
"""Endpoints that a content may crash before it is quarantined."""

CRASH_NEWS_DELAY = timedelta(seconds=3)
"""Time after the third crash in which retries of the content are not limited."""

MAX_LATE_RETRIES = 3
"""Retries of a quarantined content allowed after that time."""

CRASH_MEMORY = timedelta(seconds=60)


class Phase(Enum):
    """Progress of an attempt."""

    OPENING = "opening"
    SENT = "sent"
    ENDED = "ended"


@dataclass
class SimulatedAttempt:
    """One attempt at a model endpoint.

    Attributes
    ----------
    may_have_run : bool
        False once it is certain that it has not run.
    arrived : bool
        Whether its request has reached an endpoint, which may have rejected it.
    hedged : bool
        Whether it is silent and stays open until another attempt answers.
    """

    call: "ModelCall"
    dispatch: Dispatch
    phase: Phase
    started_at: timedelta
    last_event_at: timedelta
    may_have_run: bool = True
    arrived: bool = False
    started: bool = False
    hedged: bool = False


@dataclass
class ModelCall:
    """A caller's call.

    Attributes
    ----------
    events : int
        Events that the caller has received.
    status : int or None
        Status of the final answer; None if the connection was cut or closed.
    failure_status : int or None
        Status of an endpoint's own failure response.
    """

    request: Request
    route: str
    attempts: list[SimulatedAttempt] = field(default_factory=list)
    events: int = 0
    head_sent: bool = False
    caller_gone: bool = False
    failure_status: int | None = None
    conclusion: Conclude | None = None
    status: int | None = None

    @property
    def once(self) -> bool:
        """Whether the call may run only once."""
        return self.request.repeatability is Repeatability.NON_IDEMPOTENT

    @property
    def possible_runs(self) -> int:
        """Attempts that may have run."""
        return sum(each.may_have_run for each in self.attempts)


@dataclass
class Budget:
    """Instants of the requests and retries of one service, over all instances."""

    slack: float = RETRY_SLACK
    requests: list[timedelta] = field(default_factory=list)
    repeats: list[timedelta] = field(default_factory=list)

    def check(self, now: timedelta) -> None:
        """Check the windows that end now, and the past ones that begin with a retry."""
        ends = [now]
        ends += [
            at + RETRY_WINDOW for at in self.repeats if now - RETRY_WINDOW * 2 <= at
        ]
        for end in ends:
            if end <= now:
                self.check_window(end)

    def check_window(self, end: timedelta) -> None:
        """Check one window; its own requests or those shortly before it count."""
        repeats = count_in_window(self.repeats, end)
        requests = self.requests_for(end)
        allowed = self.allowed(end)
        assert repeats <= allowed, ("BUDGET", end, repeats, requests, allowed)

    def allowed(self, end: timedelta) -> float:
        """Return the number of retries allowed in the window that ends at `end`."""
        return RETRY_RATIO * self.requests_for(end) + self.slack

    def requests_for(self, end: timedelta) -> int:
        """Return the requests that count for the window that ends at `end`."""
        shifts = (timedelta(0), RETRY_WINDOW, RETRY_WINDOW / 2)
        # Requests are recorded in the order of their instants.
        return max(count_in_sorted(self.requests, end - shift) for shift in shifts)


def count_in_window(instants: list[timedelta], end: timedelta) -> int:
    """Return the number of instants in the window that ends at `end`."""
    return sum(end - RETRY_WINDOW < at <= end for at in instants)


def count_in_sorted(instants: list[timedelta], end: timedelta) -> int:
    """Return the same for instants in ascending order."""
    return bisect_right(instants, end) - bisect_right(instants, end - RETRY_WINDOW)


@dataclass
class CrashRecord:
    """Endpoints that crashed on a content, as far as this instance knows."""

    endpoints: dict[EndpointId, timedelta] = field(default_factory=dict)
    seen_at: timedelta = timedelta(0)
    quarantined_at: timedelta | None = None
    after: int = 0


class RuleChecker:
    """Checks each event of a simulation against the rules."""

    def __init__(self) -> None:
        self.budgets: dict[ServiceId, Budget] = {}
        self.crashes: dict[Digest, CrashRecord] = {}
        self.tickets: set[str] = set()

    def budget(self, service: ServiceId) -> Budget:
        """Return the requests and retries sent to a service."""
        return self.budgets.setdefault(service, Budget())

    def dispatched(self, call: ModelCall, dispatch: Dispatch, now: timedelta) -> None:
        """Check an attempt that is about to be sent against its call."""
        before = call.possible_runs
        terms = call.request.terms
        assert terms is not None
        assert not (call.once and before), ("TWICE", dispatch)
        assert before < terms.max_attempts, ("BUDGET: attempts", dispatch)
        assert call.conclusion is None, ("sent after its end", dispatch)
        assert now < call.request.deadline, ("sent after its deadline", dispatch)
        used = [str(h.reservation) for h in dispatch.helpers if h.reservation]
        assert not self.tickets & set(used), ("LIMIT", dispatch)
        self.tickets |= set(used)

    def _check_quarantine(self, call: ModelCall, now: timedelta) -> None:
        known = self.crashes.get(call.request.body_digest)
        if known is None or known.quarantined_at is None:
            return
        known.after += now > known.quarantined_at + CRASH_NEWS_DELAY
        assert known.after <= MAX_LATE_RETRIES, ("BUDGET: poison", call.request)

    def is_quarantined(self, digest: Digest, now: timedelta) -> bool:
        """Return whether new calls with a content must not be sent."""
        known = self.crashes.get(digest)
        if known is None or now - known.seen_at > CRASH_MEMORY:
            return False
        return known.quarantined_at is not None

    def crashed(
        self, digest: Digest, endpoints: set[EndpointId], now: timedelta
    ) -> None:
        """Record that this instance learns of crashes caused by a content."""
        known = self.crashes.get(digest)
        if known is None or now - known.seen_at > CRASH_MEMORY:
            known = self.crashes[digest] = CrashRecord()
        known.seen_at = now
        known.endpoints |= dict.fromkeys(endpoints, now)
        if len(known.endpoints) >= CRASH_LIMIT and known.quarantined_at is None:
            known.quarantined_at = now

    def answered(self, endpoint: EndpointId, sent_at: timedelta) -> None:
        """Record that an endpoint answers a request that was sent at an instant.

        If a content broke connections to it before, it had not crashed.
        """
        for known in self.crashes.values():
            if known.endpoints.get(endpoint, sent_at) < sent_at:
                del known.endpoints[endpoint]
                if len(known.endpoints) < CRASH_LIMIT:
                    known.quarantined_at = None

    def cleared(self, digest: Digest) -> None:
        """Record that a content has run successfully."""
        self.crashes.pop(digest, None)

    def arrived(self, sent: SimulatedAttempt, now: timedelta) -> None:
        """Record that an attempt reaches an endpoint, and check the retry budget."""
        sent.arrived = True
        self._check_quarantine(sent.call, now)
        budget = self.budget(ServiceId(sent.call.request.target))
        if any(each.arrived for each in sent.call.attempts if each is not sent):
            budget.repeats.append(now)
            budget.check(now)

    def ended(self, call: ModelCall, conclusion: Conclude) -> None:
        """Check a call's end."""
        assert call.conclusion is None, ("two ends", call)
        if call.status is not None and call.status in NOT_RUN_STATUSES and call.once:
            assert not call.possible_runs, ("REFUSED", call.status, conclusion)
