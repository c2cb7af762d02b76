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
"""Earlier than any instant, without overflow in sums and differences."""

OWN_PROBE_FAILURE_HOLD = timedelta(seconds=5)
"""Time after a failed own probe during which reports from peers that the endpoint
answers are ignored: it may be reachable from them and not from here."""

SEQUENCE_RESTART_GAP = timedelta(seconds=5)
"""A report that is later than the known one by at least this much is newer
regardless of its sequence number."""


class OwnDispatch(msgspec.Struct):
    """A request of this instance that is in flight on an endpoint."""

    request_id: RequestId
    prompt_tokens: int
    max_tokens: int
    dispatched_at: timedelta
    prefilled: bool = False


class Endpoint(msgspec.Struct):
    """State of one endpoint.

    Attributes
    ----------
    report : LoadReport or None
        Newest load report; None before the first.
    reported_at : timedelta
        Time that the report describes: its arrival minus its lag.
    unreachable_since : timedelta or None
        Time of the first failure since the last successful probe.
    failed_at : timedelta
        Time of the newest failure seen by this instance or a peer.
    answered_at : timedelta
        Newest time described by a probe answer.
    own_failed_at : timedelta
        Time of this instance's newest failed probe.
    ejected_until : timedelta or None
        End of the ejection as a slow endpoint.
    isolated_until : timedelta or None
        End of the isolation for a request that must run alone.
    draining : bool
        The endpoint reports that it is draining.
    draining_at : timedelta
        Time of that report.
    own_requests : dict of RequestId to OwnDispatch
        This instance's in-flight requests there.
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
        """Whether the platform's list or the endpoint reports that it is leaving."""
        return self.draining or self.entry.state is LifecycleState.LEAVING

    def accepts_new_requests(self, now: timedelta) -> bool:
        """Return whether new requests may be sent to the endpoint.

        The most restrictive source wins: a stale list must not route requests to an
        endpoint that itself, or through a peer, has reported that it is leaving.
        """
        if self.leaving:
            return False
        if self.unreachable_since is not None:
            return False
        if self.isolated_until is not None and self.isolated_until > now:
            return False
        return self.ejected_until is None or self.ejected_until <= now

    def start_incarnation(self, entry: EndpointEntry) -> None:
        """Discard the state of the endpoint's previous incarnation."""
        self.entry = entry
        self.report = None
        self.draining = False
        self.draining_at = DISTANT_PAST
        self.unreachable_since = None
        self.failed_at = DISTANT_PAST
        self.own_failed_at = DISTANT_PAST

    def is_newer(self, report: LoadReport, described_at: timedelta) -> bool:
        """Return whether a report of this incarnation is newer than the known one.

        A process that restarts without incrementing its incarnation numbers its
        reports from one. Ordered by sequence number alone, they would be ignored
        for as long as the previous process ran.
        """
        if self.report is None or report.sequence > self.report.sequence:
            return True
        return described_at - self.reported_at >= SEQUENCE_RESTART_GAP

    def apply_probe_answer(self, described_at: timedelta, own: bool) -> None:
        """Record a probe answer, which may make the endpoint reachable again.

        An answer to this instance's own probe proves that the endpoint is reachable
        from here. A peer's answer counts only if it is newer than the failures and
        this instance's own probes no longer fail.
        """
        self.answered_at = max(self.answered_at, described_at)
        holds = described_at - OWN_PROBE_FAILURE_HOLD < self.own_failed_at
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
    """All known endpoints and entry instances.

    `by_target` is an index updated with load reports, so that routing never scans
    endpoints that do not serve the target. `by_key` maps the short endpoint keys of
    peer messages to endpoints. `instances` come from the platform's list, `members`
    are the instances of the own availability zone known from peer exchanges.
    """

    def __init__(self) -> None:
        self.endpoints: dict[EndpointId, Endpoint] = {}
        self.by_key: dict[EndpointKey, Endpoint] = {}
        self.instances: dict[InstanceId, EntryInstance] = {}
        self.members: dict[InstanceId, Member] = {}
        self.listed_at = DISTANT_PAST
        self.by_target: dict[ModelId | ServiceId, dict[EndpointId, Endpoint]] = {}

    def apply_list(self, listed: InstancesListed, now: timedelta) -> None:
        """Apply the platform's list, which may be stale.

        Two kinds of lists are ignored. A list older than the current one comes from a
        stale replica of the platform and would restore removed endpoints. An empty
        list after a non-empty one comes from a platform that lost its entries:
        applying it would stop all traffic although the endpoints still answer
        probes.
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
        """Add or update an endpoint.

        An entry with an older incarnation than the known one is ignored: the list is
        stale, and a restarted endpoint must not be confused with its previous
        incarnation.
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
        """Apply a load report; return whether it was newer than the known one.

        Parameters
        ----------
        own : bool
            This instance has just probed the endpoint itself.
        """
        known = self.endpoints.get(report.endpoint)
        if known is None or report.incarnation < known.entry.incarnation:
            return False
        if report.incarnation > known.entry.incarnation:
            # The list is stale: the endpoint has a newer incarnation, and the state
            # in the list (such as leaving) belongs to the previous one.
            next_entry = replace(
                known.entry, incarnation=report.incarnation, state=LifecycleState.LIVE
            )
            known.start_incarnation(next_entry)
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
        """Record that an endpoint did not answer at a given time.

        Parameters
        ----------
        own : bool
            This instance's own probe failed; otherwise a peer or a failed
            connection reports it.
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
        """Record that an endpoint has just refused work because it is draining.

        Load reports lag; one that describes an earlier time must not make it usable
        again.
        """
        known = self.endpoints.get(endpoint)
        if known is not None:
            known.draining = True
            known.draining_at = now

    def remove(self, endpoint: EndpointId) -> None:
        """Remove an endpoint."""
        known = self.endpoints.pop(endpoint, None)
        if known is None:
            return
        del self.by_key[endpoint_key(endpoint)]
        for group in self.by_target.values():
            group.pop(endpoint, None)

    def index(self, endpoint: Endpoint) -> None:
        """Update `by_target` for one endpoint."""
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
        """Add an in-flight request of this instance."""
        known = self.endpoints.get(endpoint)
        if known is not None:
            known.own_requests[dispatch.request_id] = dispatch

    def remove_own_request(self, endpoint: EndpointId, request_id: RequestId) -> None:
        """Remove a request that is no longer in flight on an endpoint."""
        known = self.endpoints.get(endpoint)
        if known is not None:
            known.own_requests.pop(request_id, None)

    def serving(self, target: ModelId | ServiceId) -> Iterable[Endpoint]:
        """Return all endpoints that serve a target, regardless of their state."""
        return self.by_target.get(target, {}).values()
