"""What really happened to calls, and what the rules say of it."""

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

CRASHES = 3
"""Endpoints that a content may bring down before it is poison."""

NEWS = timedelta(seconds=3)
"""Time after the third crash in which retries of the content don't count."""

MOST_AFTER = 3
"""Retries of poison that may come later than that."""

FORGOTTEN = timedelta(seconds=60)


class Phase(Enum):
    """How far an attempt is."""

    OPENING = "opening"
    SENT = "sent"
    ENDED = "ended"


@dataclass
class Sent:
    """One attempt at a model endpoint.

    Attributes
    ----------
    may_have_run : bool
        False once it is sure that it has not.
    arrived : bool
        Its request has reached an endpoint, which may have rejected it.
    events : int
        Events of the whole call that its caller has.
    hedged : bool
        It is silent, and stays open until another one answers.
    """

    call: "ModelCall"
    dispatch: Dispatch
    phase: Phase
    since: timedelta
    heard_at: timedelta
    may_have_run: bool = True
    arrived: bool = False
    begun: bool = False
    hedged: bool = False


@dataclass
class ModelCall:
    """A caller's call.

    Attributes
    ----------
    status : int or None
        Of the final answer; None where the connection was cut or had gone.
    failed_with : int or None
        Status of an endpoint's own answer that tells of a failure.
    """

    request: Request
    route: str
    attempts: list[Sent] = field(default_factory=list)
    events: int = 0
    head_sent: bool = False
    caller_gone: bool = False
    failed_with: int | None = None
    conclusion: Conclude | None = None
    status: int | None = None

    @property
    def once(self) -> bool:
        """Whether it may run only once."""
        return self.request.repeatability is Repeatability.NON_IDEMPOTENT

    @property
    def possible_runs(self) -> int:
        """Attempts that may have run."""
        return sum(each.may_have_run for each in self.attempts)


@dataclass
class Budget:
    """Requests and repeats of one service, of all instances, with their instants."""

    slack: float = RETRY_SLACK
    requests: list[timedelta] = field(default_factory=list)
    repeats: list[timedelta] = field(default_factory=list)

    def check(self, now: timedelta) -> None:
        """Check all windows that end now or that begin with a repeat and are over."""
        ends = [now]
        ends += [
            at + RETRY_WINDOW for at in self.repeats if now - RETRY_WINDOW * 2 <= at
        ]
        for end in ends:
            if end <= now:
                self.check_window(end)

    def check_window(self, end: timedelta) -> None:
        """Check one window; its own requests or those shortly before it count."""
        repeats = count(self.repeats, end)
        requests = self.requests_for(end)
        allowed = self.allowed(end)
        assert repeats <= allowed, ("BUDGET", end, repeats, requests, allowed)

    def allowed(self, end: timedelta) -> float:
        """Return how many repeats the window that ends at `end` may have."""
        return RETRY_RATIO * self.requests_for(end) + self.slack

    def requests_for(self, end: timedelta) -> int:
        """Return the requests that count for the window that ends at `end`."""
        shifts = (timedelta(0), RETRY_WINDOW, RETRY_WINDOW / 2)
        return max(count(self.requests, end - shift) for shift in shifts)


def count(instants: list[timedelta], end: timedelta) -> int:
    """Return how many instants lie in the window that ends at `end`."""
    return sum(end - RETRY_WINDOW < at <= end for at in instants)


@dataclass
class Crashes:
    """Endpoints that broke off under a content, as this instance knows."""

    endpoints: set[EndpointId] = field(default_factory=set)
    seen_at: timedelta = timedelta(0)
    third_at: timedelta | None = None
    after: int = 0


class Judge:
    """Holds each thing that happens against the rules."""

    def __init__(self) -> None:
        self.budgets: dict[ServiceId, Budget] = {}
        self.crashes: dict[Digest, Crashes] = {}
        self.tickets: set[str] = set()

    def budget(self, service: ServiceId) -> Budget:
        """Return what a service has been sent."""
        return self.budgets.setdefault(service, Budget())

    def dispatched(self, call: ModelCall, dispatch: Dispatch, now: timedelta) -> None:
        """Check an attempt that is about to be sent, by its call alone."""
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

    def _poison(self, call: ModelCall, now: timedelta) -> None:
        known = self.crashes.get(call.request.body_digest)
        if known is None or known.third_at is None:
            return
        known.after += now > known.third_at + NEWS
        assert known.after <= MOST_AFTER, ("BUDGET: poison", call.request)

    def is_poison(self, digest: Digest, now: timedelta) -> bool:
        """Whether a new call with a content must not be sent."""
        known = self.crashes.get(digest)
        if known is None or now - known.seen_at > FORGOTTEN:
            return False
        return known.third_at is not None

    def crashed(
        self, digest: Digest, endpoints: set[EndpointId], now: timedelta
    ) -> None:
        """Note that this instance learns of crashes under a content."""
        known = self.crashes.get(digest)
        if known is None or now - known.seen_at > FORGOTTEN:
            known = self.crashes[digest] = Crashes()
        known.seen_at = now
        known.endpoints |= endpoints
        if len(known.endpoints) >= CRASHES and known.third_at is None:
            known.third_at = now

    def cleared(self, digest: Digest) -> None:
        """Note that a content has run well."""
        self.crashes.pop(digest, None)

    def arrived(self, sent: Sent, now: timedelta) -> None:
        """Note that an attempt reaches an endpoint, and check the budget."""
        sent.arrived = True
        self._poison(sent.call, now)
        budget = self.budget(ServiceId(sent.call.request.target))
        if any(each.arrived for each in sent.call.attempts if each is not sent):
            budget.repeats.append(now)
            budget.check(now)

    def ended(self, call: ModelCall, conclusion: Conclude) -> None:
        """Check a call's end."""
        assert call.conclusion is None, ("two ends", call)
        if call.status is not None and call.status in NOT_RUN_STATUSES and call.once:
            assert not call.possible_runs, ("REFUSED", call.status, conclusion)
