"""All tasks behind the claim effects, as one part of an entry instance."""

from collections.abc import Callable
from random import Random

from ..clock import Clock
from ..kernel.messages.claims import (
    EndClaim,
    FindStream,
    KeepAnswer,
    PaceClaims,
    RecordStreamLocation,
    ReleaseClaim,
    ReplayAnswer,
    WriteClaim,
)
from ..network.http import HttpClient
from ..runtime.kernel_task import KernelTask
from ..storage.objects import ObjectClient
from ..storage.table import Table
from ..telemetry.catalogue.claims import (
    CLAIM_TRANSACTIONS,
    CLAIMS,
    CLAIMS_UNWRITTEN,
)
from ..telemetry.metrics import Metrics, Reading
from .finder import StreamFinder
from .keeper import AnswerKeeperTask
from .replayer import AnswerReplayer, AnswerToReplay
from .sweeper import ClaimSweeper
from .writer import ClaimWriter


class ClaimsAdapter:
    """Writes claims, keeps and replays answers, finds streams.

    Parameters
    ----------
    table : Table
    objects : ObjectClient
    http : HttpClient
        For asking engines.
    clock : Clock
    random : random.Random
    kernel_task : KernelTask
    tell_relay : Callable
        Takes kept answers to deliver.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectClient,
        http: HttpClient,
        clock: Clock,
        random: Random,
        kernel_task: KernelTask,
        tell_relay: Callable[[AnswerToReplay], None],
    ) -> None:
        tell = kernel_task.send
        self.writer = ClaimWriter(table, clock, tell)
        self.keeper = AnswerKeeperTask(objects, self.writer.send, tell)
        self.replayer = AnswerReplayer(table, objects, tell_relay, tell)
        self.finder = StreamFinder(http, tell)
        self.sweeper = ClaimSweeper(table, objects, clock, random)
        self.tasks = (
            self.writer,
            self.keeper,
            self.replayer,
            self.finder,
            self.sweeper,
        )

    def register(self, kernel_task: KernelTask) -> None:
        """Take the claim effects."""
        for effect in (
            WriteClaim,
            RecordStreamLocation,
            ReleaseClaim,
            EndClaim,
            PaceClaims,
        ):
            kernel_task.register(effect, self.writer.send)
        kernel_task.register(KeepAnswer, self.keeper.send)
        kernel_task.register(ReplayAnswer, self.replayer.send)
        kernel_task.register(FindStream, self.finder.send)

    def observe(self, metrics: Metrics) -> None:
        """Have the metrics read the writer's totals."""
        writer = self.writer
        metrics.observe(CLAIMS, lambda: _readings(writer.counts.claims))
        transactions = writer.counts.transactions
        metrics.observe(CLAIM_TRANSACTIONS, lambda: _readings(transactions))
        dirty = writer.book.dirty
        metrics.observe(CLAIMS_UNWRITTEN, lambda: [Reading(len(dirty))])

    def start(self) -> None:
        """Start the tasks."""
        for task in self.tasks:
            task.start()

    def stop(self) -> None:
        """End the tasks, the writer last: what the others told it still goes out."""
        for task in reversed(self.tasks):
            task.stop()


def _readings(totals: dict[str, int]) -> list[Reading]:
    return [Reading(total, (("result", name),)) for name, total in totals.items()]
