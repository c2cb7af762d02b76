"""Evidence against request bodies."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from msgspec.structs import replace

from ...ids import Digest, EndpointId
from ...kernel.messages.quarantine import CrashEvidence, EndpointIncarnation, Suspicion

EVIDENCE_RETENTION = timedelta(hours=1)
"""Evidence that has not grown for so long is forgotten."""

MAX_BODIES = 2048
"""Bodies remembered; beyond, the one without news for longest is forgotten."""

SUSPECT_WEIGHT = 0.25
"""Weight from which a body is a suspect after a single crash: one of four."""

SUSPECT_CRASHES = 2
MAX_PUBLISHED_CRASHES = 8
"""Crashes of one body that are told to others; two are enough to condemn it."""

CONDEMNING_SOLE_CRASHES = 2


class Verdict(Enum):
    """What is thought of a body."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    """It runs alone until it has come to an end or is condemned."""
    CONDEMNED = "condemned"
    """It has crashed endpoints on which it ran alone: it is not run any more."""


@dataclass(slots=True)
class BodyCase:
    """Evidence against one body.

    Attributes
    ----------
    dropped : dict of EndpointIncarnation
        Evidence that counts no more, however often it is heard again.
    """

    changed_at: timedelta
    evidence: dict[EndpointIncarnation, CrashEvidence] = field(default_factory=dict)
    dropped: dict[EndpointIncarnation, None] = field(default_factory=dict)

    @property
    def verdict(self) -> Verdict:
        """What the evidence amounts to.

        An endpoint that dies by itself with twenty requests in progress makes no
        suspect of any of them. Only crashes with a body alone condemn it, and only
        those of lives that surely ended.
        """
        crashes = self.evidence.values()
        sole = sum(each.is_sole and each.is_confirmed for each in crashes)
        if sole >= CONDEMNING_SOLE_CRASHES:
            return Verdict.CONDEMNED
        weight = sum(each.weight for each in crashes)
        if weight >= SUSPECT_WEIGHT or len(crashes) >= SUSPECT_CRASHES:
            return Verdict.SUSPECT
        return Verdict.CLEAR

    @property
    def may_be_condemned(self) -> bool:
        """Whether the body is condemned if all that is presumed turns out true.

        It is not run while that is so: the next run would cost an endpoint that
        the news, on its way already, would have spared.
        """
        sole = sum(each.is_sole for each in self.evidence.values())
        return self.verdict is not Verdict.CONDEMNED and sole >= CONDEMNING_SOLE_CRASHES

    @property
    def weight(self) -> float:
        """Sum over all crashes."""
        return sum(each.weight for each in self.evidence.values())

    @property
    def endpoints(self) -> frozenset[EndpointId]:
        """Endpoints that have ended a life with the body in progress."""
        return frozenset(incarnation.endpoint for incarnation in self.evidence)


class EvidenceLedger:
    """All cases of an instance; joining evidence in any order gives the same."""

    def __init__(self) -> None:
        self.cases: dict[Digest, BodyCase] = {}

    def verdict(self, digest: Digest) -> Verdict:
        """Return what is thought of a body."""
        case = self.cases.get(digest)
        return Verdict.CLEAR if case is None else case.verdict

    def add(self, digest: Digest, evidence: CrashEvidence, at: timedelta) -> bool:
        """Join evidence with what is known; return whether it was news."""
        incarnation = evidence.endpoint_incarnation
        case = self.cases.get(digest)
        if case is None:
            case = self.cases[digest] = BodyCase(at)
            self._forget_oldest()
        known = case.evidence.get(incarnation)
        joined = evidence if known is None else _merged(known, evidence)
        if incarnation in case.dropped or joined == known:
            return False
        case.evidence[incarnation] = joined
        case.changed_at = max(case.changed_at, at)
        return True

    def confirm(
        self, digest: Digest, incarnation: EndpointIncarnation, at: timedelta
    ) -> bool:
        """Note that a life has surely ended; return whether that was news."""
        case = self.cases.get(digest)
        known = None if case is None else case.evidence.get(incarnation)
        if known is None:
            return False
        return self.add(digest, replace(known, is_confirmed=True), at)

    def drop(
        self, digest: Digest, incarnations: Iterable[EndpointIncarnation], at: timedelta
    ) -> bool:
        """Drop evidence for good; return whether any had counted."""
        case = self.cases.get(digest)
        if case is None:
            case = self.cases[digest] = BodyCase(at)
            self._forget_oldest()
        counted = False
        for incarnation in incarnations:
            counted |= case.evidence.pop(incarnation, None) is not None
            case.dropped[incarnation] = None
        return counted

    def suspicion(self, digest: Digest) -> Suspicion:
        """Return what others should know of a body: the newest of everything."""
        case = self.cases[digest]
        evidence = tuple(case.evidence.values())[-MAX_PUBLISHED_CRASHES:]
        return Suspicion(evidence, tuple(case.dropped)[-MAX_PUBLISHED_CRASHES:])

    def merge(self, digest: Digest, suspicion: Suspicion, at: timedelta) -> bool:
        """Join what another instance knows of a body; return whether it was news."""
        changed = self.drop(digest, suspicion.dropped, at)
        for evidence in suspicion.evidence:
            changed |= self.add(digest, evidence, at)
        return changed

    def forget_old(self, now: timedelta) -> None:
        """Forget cases without news for their lifetime."""
        old = [
            digest
            for digest, case in self.cases.items()
            if now - case.changed_at > EVIDENCE_RETENTION
        ]
        for digest in old:
            del self.cases[digest]

    def _forget_oldest(self) -> None:
        if len(self.cases) > MAX_BODIES:
            oldest = min(self.cases, key=lambda each: self.cases[each].changed_at)
            del self.cases[oldest]


def _merged(first: CrashEvidence, second: CrashEvidence) -> CrashEvidence:
    """Join two views of one crash: the more doubtful weight, the surer end.

    Each instance counts the requests in progress that it knows of; whoever knew of
    more is nearer to the truth.
    """
    return replace(
        first,
        weight=min(first.weight, second.weight),
        is_sole=first.is_sole and second.is_sole,
        is_confirmed=first.is_confirmed or second.is_confirmed,
    )
