"""Evidence against request bodies."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from msgspec.structs import replace

from ...ids import Digest, EndpointId
from ...kernel.messages.quarantine import CrashEvidence, EndpointIncarnation, Suspicion
from ...quarantine.judgement import BODY_CRASHES_WHILE_ANSWERING, CONCLUSIVE_CRASHES

EVIDENCE_RETENTION = timedelta(hours=1)
"""Evidence to which nothing was added for this long is dropped."""

MAX_BODIES = 2048
"""Maximum of tracked bodies; beyond it the least recently changed one is dropped."""

SUSPECT_WEIGHT = 0.25
"""Weight from which a body is a suspect after a single crash: one of four."""

SUSPECT_CRASHES = 2
"""Crashes from which a body is a suspect; it then runs on these endpoints only."""

MAX_PUBLISHED_CRASHES = 8
"""Crashes of one body that are published; two are enough to condemn it."""


class Verdict(Enum):
    """Assessment of a body."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    """It runs alone until it completes or is condemned."""
    CONDEMNED = "condemned"
    """It has crashed endpoints on which it ran alone: it is not run again."""


@dataclass(slots=True)
class BodyCase:
    """Evidence against one body.

    Attributes
    ----------
    dropped : dict of EndpointIncarnation
        Evidence that no longer counts, however often it is received again.
    """

    changed_at: timedelta
    evidence: dict[EndpointIncarnation, CrashEvidence] = field(default_factory=dict)
    dropped: dict[EndpointIncarnation, None] = field(default_factory=dict)

    @property
    def verdict(self) -> Verdict:
        """Verdict that follows from the evidence.

        An endpoint that crashes for other reasons with twenty requests in progress
        makes none of them a suspect. Only crashes with the body alone condemn it, and
        only those of incarnations that are confirmed to have ended.
        """
        crashes = self.evidence.values()
        if condemns(each for each in crashes if each.is_confirmed):
            return Verdict.CONDEMNED
        weight = sum(each.weight for each in crashes)
        if weight >= SUSPECT_WEIGHT or len(crashes) >= SUSPECT_CRASHES:
            return Verdict.SUSPECT
        return Verdict.CLEAR

    @property
    def may_be_condemned(self) -> bool:
        """Whether the body would be condemned if all its evidence were confirmed.

        It is not run meanwhile: the next run could crash an endpoint although the
        confirmation is already on its way.
        """
        return self.verdict is not Verdict.CONDEMNED and condemns(
            self.evidence.values()
        )

    @property
    def weight(self) -> float:
        """Sum over all crashes."""
        return sum(each.weight for each in self.evidence.values())

    @property
    def endpoints(self) -> frozenset[EndpointId]:
        """Endpoints of which an incarnation ended with the body in progress."""
        return frozenset(incarnation.endpoint for incarnation in self.evidence)


class EvidenceLedger:
    """All cases of an instance; merging evidence in any order gives the same."""

    def __init__(self) -> None:
        self.cases: dict[Digest, BodyCase] = {}

    def verdict(self, digest: Digest) -> Verdict:
        """Return the verdict on a body."""
        case = self.cases.get(digest)
        return Verdict.CLEAR if case is None else case.verdict

    def add(self, digest: Digest, evidence: CrashEvidence, at: timedelta) -> bool:
        """Merge evidence with what is known; return whether that changed anything."""
        incarnation = evidence.endpoint_incarnation
        case = self.cases.get(digest)
        if case is None:
            case = self.cases[digest] = BodyCase(at)
            self._forget_oldest()
        known = case.evidence.get(incarnation)
        merged = evidence if known is None else _merged(known, evidence)
        if incarnation in case.dropped or merged == known:
            return False
        case.evidence[incarnation] = merged
        case.changed_at = max(case.changed_at, at)
        return True

    def confirm(
        self, digest: Digest, incarnation: EndpointIncarnation, at: timedelta
    ) -> bool:
        """Record that an incarnation has ended; return whether that was new."""
        case = self.cases.get(digest)
        known = None if case is None else case.evidence.get(incarnation)
        if known is None:
            return False
        return self.add(digest, replace(known, is_confirmed=True), at)

    def drop(
        self, digest: Digest, incarnations: Iterable[EndpointIncarnation], at: timedelta
    ) -> bool:
        """Drop evidence permanently; return whether any had counted."""
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
        """Return the newest evidence and drops of a body, for publication."""
        case = self.cases[digest]
        evidence = tuple(case.evidence.values())[-MAX_PUBLISHED_CRASHES:]
        return Suspicion(evidence, tuple(case.dropped)[-MAX_PUBLISHED_CRASHES:])

    def merge(self, digest: Digest, suspicion: Suspicion, at: timedelta) -> bool:
        """Merge a peer's evidence on a body; return whether that changed anything."""
        changed = self.drop(digest, suspicion.dropped, at)
        for evidence in suspicion.evidence:
            changed |= self.add(digest, evidence, at)
        return changed

    def forget_old(self, now: timedelta) -> None:
        """Drop cases that have not changed within the retention time."""
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
    """Merge two views of one crash: the lower weight, confirmed if either one is.

    Each instance counts the requests in progress that it knows of; the larger count,
    and so the lower weight, is the better estimate.
    """
    return replace(
        first,
        weight=min(first.weight, second.weight),
        is_sole=first.is_sole and second.is_sole,
        is_confirmed=first.is_confirmed or second.is_confirmed,
        is_answering=first.is_answering or second.is_answering,
    )


def condemns(crashes: Iterable[CrashEvidence]) -> bool:
    """Return whether crashes condemn a body, if all are confirmed."""
    sole = [each for each in crashes if each.is_sole]
    begun = sum(not each.is_answering for each in sole)
    return begun >= CONCLUSIVE_CRASHES or len(sole) >= BODY_CRASHES_WHILE_ANSWERING
