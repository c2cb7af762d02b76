"""Exchange of crashes, successes and quarantines between the kernel and the gossip."""

from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod

from ..clock import Clock
from ..gossip.kinds.crashes import QuarantineNote, RunNote, SuccessNote
from ..gossip.service import Gossip
from ..ids import Digest, EndpointId
from ..kernel.messages.base import Effect, Message
from ..kernel.messages.crashes import (
    InterruptedRun,
    PeerRefutation,
    PeerRunInterrupted,
    PeerSuccessReported,
    PublishInterruptedRun,
    PublishQuarantine,
    PublishRefutation,
    PublishSuccess,
    Quarantine,
    QuarantineReceived,
    RunPhase,
)

MILLISECOND = timedelta(milliseconds=1)


class CrashAdapter:
    """Publishes and receives what instances know of crashes.

    Parameters
    ----------
    post : callable
        Posts a message to the kernel.
    clock : Clock
        The kernel's.
    """

    def __init__(self, post: Callable[[Message], None], clock: Clock) -> None:
        self.post = post
        self.clock = clock

    @singledispatchmethod
    def publish(self, effect: Effect, gossip: Gossip) -> None:
        """Publish an effect to peers."""
        raise TypeError(f"{effect!r} is not published")

    @publish.register
    def _(self, effect: PublishInterruptedRun, gossip: Gossip) -> None:
        gossip.publish_interrupted_run(run_note(effect))

    @publish.register
    def _(self, effect: PublishRefutation, gossip: Gossip) -> None:
        age = self.clock.monotonic() - effect.sent_at
        gossip.publish_refutation(effect.endpoint, int(age / MILLISECOND))

    @publish.register
    def _(self, effect: PublishSuccess, gossip: Gossip) -> None:
        age = self.clock.monotonic() - effect.at
        gossip.publish_success(effect.content, SuccessNote(int(age / MILLISECOND)))

    @publish.register
    def _(self, effect: PublishQuarantine, gossip: Gossip) -> None:
        note = quarantine_note(effect.quarantine, self.clock.monotonic())
        gossip.publish_quarantine(effect.quarantine.content, note)

    def receive_run(self, note: RunNote, age: timedelta) -> None:
        """Receive a run that ended with its endpoint."""
        self.post(interrupted_run(note, self.clock.monotonic() - age))

    def receive_refutation(
        self, endpoint: EndpointId, sent_ms: int, age: timedelta
    ) -> None:
        """Receive that an endpoint had not crashed."""
        sent_at = self.clock.monotonic() - age - sent_ms * MILLISECOND
        self.post(PeerRefutation(endpoint, sent_at))

    def receive_success(
        self, content: Digest, note: SuccessNote, age: timedelta
    ) -> None:
        """Receive that a suspected content has run without a crash."""
        at = self.clock.monotonic() - age - note.age_ms * MILLISECOND
        self.post(PeerSuccessReported(content, at))

    def receive_quarantine(
        self, content: Digest, note: QuarantineNote, age: timedelta
    ) -> None:
        """Receive the decision on a content."""
        noted_at = self.clock.monotonic() - age
        self.post(QuarantineReceived(quarantine_of(content, note, noted_at)))


def run_note(effect: PublishInterruptedRun) -> RunNote:
    """Return the note that peers receive about an interrupted run."""
    run = effect.run
    return RunNote(
        effect.endpoint,
        run.content,
        run.account,
        run.parts,
        run.phase.value,
        int((run.ended_at - run.sent_at) / MILLISECOND),
    )


def interrupted_run(note: RunNote, at: timedelta) -> PeerRunInterrupted:
    """Return a peer's interrupted run in times of the own clock."""
    run = InterruptedRun(
        note.content,
        note.account,
        note.parts,
        RunPhase(note.phase),
        at - note.sent_ms * MILLISECOND,
        at,
    )
    return PeerRunInterrupted(note.endpoint, run)


def quarantine_note(decision: Quarantine, now: timedelta) -> QuarantineNote:
    """Return the note that peers receive about a decision."""
    return QuarantineNote(
        decision.accounts,
        int((now - decision.decided_at) / MILLISECOND),
        int((decision.until - now) / MILLISECOND),
        decision.level,
        decision.crashes,
        decision.lifted,
    )


def quarantine_of(
    content: Digest, note: QuarantineNote, noted_at: timedelta
) -> Quarantine:
    """Return a peer's decision in times of the own clock."""
    return Quarantine(
        content,
        note.accounts,
        decided_at=noted_at - note.age_ms * MILLISECOND,
        until=noted_at + note.left_ms * MILLISECOND,
        level=note.level,
        crashes=note.crashes,
        lifted=note.lifted,
    )
