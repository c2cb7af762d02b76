"""Runs suspects alone, on an endpoint that is isolated for them."""

from collections.abc import Mapping
from functools import singledispatchmethod

from ...kernel.context import Context
from ...kernel.fleet import Endpoint
from ...kernel.messages.base import Message, Tick
from ...kernel.messages.quarantine import EndpointIncarnation, EndpointIsolationReceived
from ...kernel.plugins import (
    NotApplicable,
    Placement,
    PlaceOn,
    Placer,
    PluginFinder,
    Refuse,
    RequestConcluded,
    Wait,
)
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from ...kernel.rendezvous import ranked
from .crashes import ConnectionBreak
from .isolation import Isolations
from .ledger import SUSPECT_CRASHES, EvidenceLedger, Verdict
from .recency import EvidenceRecency
from .stage import Quarantine, condemned_problem

MAX_ISOLATED_SHARE = 0.1
"""Share of a target's endpoints that may be isolated at once; at least one may."""


@register("sole-run")
class SoleRun(Placer):
    """Places suspects on endpoints that run nothing else meanwhile.

    All instances rank the endpoints of a target identically, so that they isolate
    the same one. A body that has crashed two endpoints runs on these two only, so
    that it never crashes a third one. While evidence of peers may be missing, no
    request is placed: any could be a suspect.
    """

    order = 5

    def __init__(self) -> None:
        self.ledger = EvidenceLedger()
        self.breaks: Mapping[EndpointIncarnation, ConnectionBreak] = {}
        self.isolations = Isolations()
        self.recency = EvidenceRecency()

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Share the ledger and the breaks of the quarantine plug-in."""
        quarantine = find(Quarantine)
        if quarantine is not None:
            self.ledger = quarantine.ledger
            self.breaks = quarantine.breaks

    def place(self, record: RequestRecord, context: Context) -> Placement:
        """Place a suspect and refuse a condemned body; not applicable to others."""
        if not self.recency.is_current(context):
            return Wait("evidence-outdated")
        verdict = self.ledger.verdict(record.request.body_digest)
        if verdict is Verdict.CLEAR:
            return NotApplicable()
        if verdict is Verdict.CONDEMNED:
            return Refuse(condemned_problem())
        if self.ledger.cases[record.request.body_digest].may_be_condemned:
            return Wait("sole-run")
        return self._place_suspect(record, context)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """React to concluded requests, to isolations by peers and to ticks."""

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        if self._has_waiting_suspect(message.record, context):
            return
        for attempt in message.record.attempts:
            self.isolations.end(attempt.endpoint, context)

    @handle.register
    def _(self, message: EndpointIsolationReceived, context: Context) -> None:
        self.isolations.receive(message, context)

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        self.recency.observe(context.now)

    def _has_waiting_suspect(self, record: RequestRecord, context: Context) -> bool:
        """Return whether an endpoint should stay isolated for the next suspect."""
        return any(
            self.ledger.verdict(waiting.request.body_digest) is Verdict.SUSPECT
            for waiting in context.state.waiting.waiting_for(record.request.target)
        )

    def _place_suspect(self, record: RequestRecord, context: Context) -> Placement:
        candidates = self._candidates(record, context)
        if candidates is None:
            return Refuse(condemned_problem())
        for endpoint in candidates:
            if self.isolations.is_exclusive(endpoint, context):
                self.isolations.isolate(endpoint, context)
                entry = endpoint.entry
                return PlaceOn(entry.endpoint, entry.incarnation, entry.address)
        if candidates and self._may_isolate(candidates[0], record, context):
            self.isolations.isolate(candidates[0], context)
        return Wait("sole-run")

    def _candidates(
        self, record: RequestRecord, context: Context
    ) -> list[Endpoint] | None:
        """Return where a suspect may run, best first; None if nowhere any more."""
        target = record.request.target
        serving = {e.endpoint_id: e for e in context.state.fleet.serving(target)}
        crashed = self.ledger.cases[record.request.body_digest].endpoints
        allowed = [
            name
            for name in ranked(f"sole {target}", serving)
            if len(crashed) < SUSPECT_CRASHES or name in crashed
        ]
        known = context.state.fleet.endpoints
        if not allowed and not any(name in known for name in crashed):
            return None
        # Other endpoints first: a crash of a further one is stronger evidence.
        allowed.sort(key=lambda name: name in crashed)
        return [serving[name] for name in allowed if self._is_usable(serving[name])]

    def _is_usable(self, endpoint: Endpoint) -> bool:
        """Return whether a suspect may be sent to an endpoint that may be up.

        When a suspect has crashed an endpoint, its last report still shows it up and
        idle, and it is already isolated. Without this check, the next suspect would be
        sent there at once, and a harmless one would use up its attempts although hardly
        one ran. An incarnation whose connection broke in mid-answer gets no suspect
        until the endpoint's own report shows whether it has ended.
        """
        if endpoint.leaving or endpoint.unreachable_since is not None:
            return False
        endpoint_incarnation = EndpointIncarnation(
            endpoint.endpoint_id, endpoint.entry.incarnation
        )
        return endpoint_incarnation not in self.breaks

    def _may_isolate(
        self, endpoint: Endpoint, record: RequestRecord, context: Context
    ) -> bool:
        """Return whether an endpoint can be isolated for the suspect.

        The only serving endpoint is isolated only while it is idle.
        """
        serving = list(context.state.fleet.serving(record.request.target))
        others = [each for each in serving if each is not endpoint]
        isolated = sum(_is_isolated(each, context) for each in others)
        if isolated >= max(1, int(MAX_ISOLATED_SHARE * len(serving))):
            return False
        if any(each.accepts_new_requests(context.now) for each in others):
            return True
        return _is_idle(endpoint) or _is_isolated(endpoint, context)


def _is_isolated(endpoint: Endpoint, context: Context) -> bool:
    until = endpoint.isolated_until
    return until is not None and until > context.now


def _is_idle(endpoint: Endpoint) -> bool:
    report = endpoint.report
    if endpoint.own_requests or report is None:
        return False
    return report.running + report.waiting == 0
