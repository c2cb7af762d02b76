"""The kernel's view of endpoints and entry instances."""

from collections.abc import Iterable
from datetime import timedelta

import msgspec
from msgspec.structs import replace

from ..ids import EndpointId, InstanceId, ModelId, RequestId, ServiceId
from .messages.fleet import (
    EndpointEntry,
    EndpointKind,
    EntryInstance,
    InstancesListed,
    LifecycleState,
    LoadReport,
)
from .messages.peers import Member
from .messages.watch import EndpointKey, endpoint_key

DISTANT_PAST = timedelta(days=-36_500)
"""Before any instant; far enough from the limits for sums and differences."""

OWN_PROBE_HOLDS = timedelta(seconds=5)
"""For so long after a failed probe of its own an instance does not believe peers
that the endpoint answers: it may answer them and not be reachable from here."""

SEQUENCE_RESTARTED = timedelta(seconds=5)
"""A report that describes a so much later instant than the known one is newer
whatever its number says."""


class OwnDispatch(msgspec.Struct):
    """A request of this instance that runs on an endpoint."""

    request_id: RequestId
    prompt_tokens: int
    max_tokens: int
    dispatched_at: timedelta
    prefilled: bool = False


class Endpoint(msgspec.Struct):
    """What is known of one endpoint.

    Attributes
    ----------
    report : LoadReport or None
        Newest report; None before the first.
    reported_at : timedelta
        Instant that the report describes: its arrival less its lag.
    unreachable_since : timedelta or None
        First word that it does not answer, since the last that it does.
    failed_at : timedelta
        Newest such word, of this instance's probes or of a peer's.
    answered_at : timedelta
        Newest instant described by an answer.
    own_failed_at : timedelta
        Newest failed probe of this instance itself.
    ejected_until : timedelta or None
        Set by ejection of slow endpoints.
    isolated_until : timedelta or None
        Kept free for a request that runs alone.
    draining : bool
        Its own word that it is leaving.
    draining_at : timedelta
        Instant of that word.
    own : dict of RequestId to OwnDispatch
        This instance's running requests there.
    """

    entry: EndpointEntry
    report: LoadReport | None = None
    reported_at: timedelta = timedelta(0)
    unreachable_since: timedelta | None = None
    ejected_until: timedelta | None = None
    isolated_until: timedelta | None = None
    draining: bool = False
    draining_at: timedelta = DISTANT_PAST
    answered_at: timedelta = DISTANT_PAST
    failed_at: timedelta = DISTANT_PAST
    own_failed_at: timedelta = DISTANT_PAST
    own_requests: dict[RequestId, OwnDispatch] = msgspec.field(default_factory=dict)

    @property
    def endpoint_id(self) -> EndpointId:
        """Id of the endpoint."""
        return self.entry.endpoint

    @property
    def leaving(self) -> bool:
        """Whether the list or the endpoint itself says that it is leaving."""
        return self.draining or self.entry.state is LifecycleState.LEAVING

    def accepts_new_requests(self, now: timedelta) -> bool:
        """Return whether new requests may be sent there.

        The strictest word wins: a lagging list must not send work to an endpoint
        that itself, or a peer, has said is leaving.
        """
        if self.leaving:
            return False
        if self.unreachable_since is not None:
            return False
        if self.isolated_until is not None and self.isolated_until > now:
            return False
        return self.ejected_until is None or self.ejected_until <= now

    def start_incarnation(self, entry: EndpointEntry) -> None:
        """Forget what was known of the endpoint's former life."""
        self.entry = entry
        self.report = None
        self.draining = False
        self.draining_at = DISTANT_PAST
        self.unreachable_since = None
        self.failed_at = DISTANT_PAST
        self.own_failed_at = DISTANT_PAST

    def is_newer(self, report: LoadReport, described_at: timedelta) -> bool:
        """Return whether a report of this life is newer than the known one.

        A process that was started again without raising its incarnation counts its
        reports from one. Ordered by number alone they would be passed over for as
        long as its former life had lasted.
        """
        if self.report is None or report.sequence > self.report.sequence:
            return True
        return described_at - self.reported_at >= SEQUENCE_RESTARTED

    def apply_probe_answer(self, described_at: timedelta, own: bool) -> None:
        """Note that the endpoint answered a probe, which may make it usable again.

        This instance's own probe says that it can be reached from here. A peer's
        word counts if it is newer than the failures, and only once this instance's
        own probes do not fail any more.
        """
        self.answered_at = max(self.answered_at, described_at)
        holds = described_at - OWN_PROBE_HOLDS < self.own_failed_at
        if own or (described_at > self.failed_at and not holds):
            self.unreachable_since = None
            self.failed_at = DISTANT_PAST
            self.own_failed_at = DISTANT_PAST

    def serves(self, target: ModelId | ServiceId) -> bool:
        """Return whether the endpoint serves a model or service."""
        if self.entry.kind is EndpointKind.PLAIN_SERVICE:
            return self.entry.service == target
        return self.report is not None and target in self.report.models


class Fleet:
    """All endpoints and entry instances that this instance knows.

    `by_target` is an index kept up to date with reports, so that routing never
    scans endpoints which do not serve the target. `by_key` finds an endpoint by its
    short name in what peers tell. `instances` are those of the
    platform's list, `members` those of the own availability zone as peers hear of
    them.
    """

    def __init__(self) -> None:
        self.endpoints: dict[EndpointId, Endpoint] = {}
        self.by_key: dict[EndpointKey, Endpoint] = {}
        self.instances: dict[InstanceId, EntryInstance] = {}
        self.members: dict[InstanceId, Member] = {}
        self.listed_at = DISTANT_PAST
        self.by_target: dict[ModelId | ServiceId, dict[EndpointId, Endpoint]] = {}

    def apply_list(self, listed: InstancesListed, now: timedelta) -> None:
        """Take over the platform's list, which may be old.

        Two lists are passed over. One older than the list in force comes from a
        platform that answers from several copies: it would bring back endpoints
        that have gone. One without any endpoint, after one with some, comes from a
        platform that lost its entries: taken at its word it would stop all work,
        while the endpoints go on answering their probes.
        """
        as_of = now - listed.age
        if as_of < self.listed_at or (self.endpoints and not listed.endpoints):
            return
        self.listed_at = as_of
        seen = {entry.endpoint for entry in listed.endpoints}
        for gone in [name for name in self.endpoints if name not in seen]:
            self.remove(gone)
        for entry in listed.endpoints:
            self.apply_entry(entry)
        self.instances = {entry.instance: entry for entry in listed.instances}

    def apply_entry(self, entry: EndpointEntry) -> None:
        """Add an endpoint or renew what is known of it.

        An entry of an older incarnation than the known one is passed over: the
        list lags, and an endpoint that came back must not be taken for its former
        self.
        """
        known = self.endpoints.get(entry.endpoint)
        if known is None:
            known = Endpoint(entry)
            self.endpoints[entry.endpoint] = known
            self.by_key[endpoint_key(entry.endpoint)] = known
        elif entry.incarnation < known.entry.incarnation:
            return
        elif entry.incarnation > known.entry.incarnation:
            known.start_incarnation(entry)
        known.entry = entry
        self.index(known)

    def apply_report(self, report: LoadReport, now: timedelta, own: bool) -> bool:
        """Take over a load report; return whether it was news.

        Parameters
        ----------
        own : bool
            This instance asked the endpoint itself, just now.
        """
        known = self.endpoints.get(report.endpoint)
        if known is None or report.incarnation < known.entry.incarnation:
            return False
        if report.incarnation > known.entry.incarnation:
            # The list lags: the endpoint is already in its next life, and what the
            # list says (leaving, perhaps) was about the one before.
            life = replace(
                known.entry, incarnation=report.incarnation, state=LifecycleState.LIVE
            )
            known.start_incarnation(life)
        described_at = now - report.lag
        known.apply_probe_answer(described_at, own)
        if not known.is_newer(report, described_at):
            return False
        known.report = report
        known.reported_at = described_at
        if described_at >= known.draining_at:
            known.draining = report.draining
            known.draining_at = described_at
        self.index(known)
        return True

    def apply_failure(self, endpoint: EndpointId, at: timedelta, own: bool) -> None:
        """Note that an endpoint did not answer at an instant.

        Parameters
        ----------
        own : bool
            This instance's own probe failed; otherwise a peer says so.
        """
        known = self.endpoints.get(endpoint)
        if known is None:
            return
        if own:
            known.own_failed_at = max(known.own_failed_at, at)
        elif at <= known.answered_at:
            return
        known.failed_at = max(known.failed_at, at)
        if known.unreachable_since is None:
            known.unreachable_since = at

    def mark_draining(self, endpoint: EndpointId, now: timedelta) -> None:
        """Note that an endpoint has just refused work because it is leaving.

        Its load reports lag; one that describes an earlier instant must not make
        it usable again.
        """
        known = self.endpoints.get(endpoint)
        if known is not None:
            known.draining = True
            known.draining_at = now

    def remove(self, endpoint: EndpointId) -> None:
        """Forget an endpoint."""
        known = self.endpoints.pop(endpoint, None)
        if known is None:
            return
        del self.by_key[endpoint_key(endpoint)]
        for group in self.by_target.values():
            group.pop(endpoint, None)

    def index(self, endpoint: Endpoint) -> None:
        """Bring `by_target` up to date for one endpoint."""
        targets: set[ModelId | ServiceId] = set()
        if endpoint.entry.service is not None:
            targets.add(endpoint.entry.service)
        if endpoint.report is not None:
            targets.update(endpoint.report.models)
        for target, group in self.by_target.items():
            if target not in targets:
                group.pop(endpoint.endpoint_id, None)
        for target in targets:
            group = self.by_target.setdefault(target, {})
            group[endpoint.endpoint_id] = endpoint

    def add_own_request(self, endpoint: EndpointId, dispatch: OwnDispatch) -> None:
        """Note a request that this instance sends to an endpoint."""
        known = self.endpoints.get(endpoint)
        if known is not None:
            known.own_requests[dispatch.request_id] = dispatch

    def remove_own_request(self, endpoint: EndpointId, request_id: RequestId) -> None:
        """Forget a request that no longer runs there."""
        known = self.endpoints.get(endpoint)
        if known is not None:
            known.own_requests.pop(request_id, None)

    def serving(self, target: ModelId | ServiceId) -> Iterable[Endpoint]:
        """Return the endpoints that serve a target, whatever their state."""
        return self.by_target.get(target, {}).values()
