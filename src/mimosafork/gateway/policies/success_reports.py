"""Publication of successes of contents that peers suspect."""

from datetime import timedelta

from ...ids import Digest
from ...kernel.context import Context
from ...kernel.messages.base import Message
from ...kernel.messages.crashes import PublishSuccess
from ...quarantine.crash_ledger import CrashLedger

MAX_DELAY = timedelta(milliseconds=50)
"""Of the answer to a peer's suspicion. The delay is random: most instances find that
another one has answered, so that the answers do not grow with the fleet."""

MAX_OWN_SUCCESSES = 2048


class SuccessReportDue(Message, frozen=True):
    """The delay is over, after which an earlier success is published."""

    content: Digest


class SuccessReports:
    """Tells peers which suspected contents have run well here.

    Instances know only the successes of their own calls. An instance that has never
    run a part would take it for one that crashes every endpoint.

    Parameters
    ----------
    ledger : CrashLedger
    """

    def __init__(self, ledger: CrashLedger) -> None:
        self.ledger = ledger
        self.own: dict[Digest, timedelta] = {}
        """Own successes that were not published, least recent first."""
        self.due: set[Digest] = set()

    def note(self, content: Digest, context: Context) -> None:
        """Record an own success; publish it if the content is suspected."""
        suspected = self.ledger.is_suspected(content)
        self.ledger.succeed(content, context.now)
        if suspected:
            self.own.pop(content, None)
            context.emit(PublishSuccess(content, context.now))
            return
        self.own.pop(content, None)
        self.own[content] = context.now
        if len(self.own) > MAX_OWN_SUCCESSES:
            del self.own[next(iter(self.own))]

    def answer(self, content: Digest, context: Context) -> None:
        """Schedule the publication of an earlier success of a suspected content."""
        if content in self.own and content not in self.due:
            self.due.add(content)
            delay = MAX_DELAY * context.random.random()
            context.wake_after(delay, SuccessReportDue(content))

    def received(self, content: Digest) -> None:
        """Note that a peer has published a success."""
        self.own.pop(content, None)

    def publish(self, content: Digest, context: Context) -> None:
        """Publish an earlier success, unless a peer has published one."""
        self.due.discard(content)
        at = self.own.pop(content, None)
        if at is not None:
            context.emit(PublishSuccess(content, at))
