"""The task that reads kept answers for resends."""

from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger

from ..ids import RequestId
from ..kernel.messages.base import Effect, Message
from ..kernel.messages.claims import AnswerReplayed, ReplayAnswer
from ..runtime.task import Task
from ..storage.errors import PlatformError
from ..storage.objects import ObjectClient
from ..storage.table import Table
from ..telemetry.catalogue.claims import KEPT_ANSWER_UNREAD
from ..telemetry.logs import log_event
from .answers import KeptAnswer, decoded_answer
from .errors import ClaimsError
from .rows import TABLE, decoded

logger = getLogger(__name__)

READS = 3
"""A read may be stale and show the row as it was before the answer."""


@dataclass(frozen=True, slots=True)
class AnswerToReplay:
    """A kept answer for the relay to deliver.

    Attributes
    ----------
    offset : int
        First token that the caller lacks.
    """

    request_id: RequestId
    answer: KeptAnswer
    offset: int


class AnswerReplayer(Task[Effect]):
    """Fetches kept answers and gives them to the relay.

    Parameters
    ----------
    table : Table
    objects : ObjectClient
    tell_relay : Callable
        Takes the answer; the relay then reports `AnswerReplayed`.
    tell_kernel : Callable
        Told when there is no answer to be had.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectClient,
        tell_relay: Callable[[AnswerToReplay], None],
        tell_kernel: Callable[[Message], None],
    ) -> None:
        super().__init__("answer-replayer")
        self.table = table
        self.objects = objects
        self.tell_relay = tell_relay
        self.tell_kernel = tell_kernel

    def receive(self, message: Effect) -> None:
        """Fetch one answer."""
        assert isinstance(message, ReplayAnswer)
        try:
            answer = self._fetch(message)
        except (PlatformError, ClaimsError) as error:
            log_event(logger, KEPT_ANSWER_UNREAD, answer=message.key, why=error)
            answer = None
        if answer is None:
            self.tell_kernel(AnswerReplayed(message.request_id, delivered=False))
            return
        self.tell_relay(AnswerToReplay(message.request_id, answer, message.offset))

    def _fetch(self, message: ReplayAnswer) -> KeptAnswer | None:
        for _ in range(READS):
            row = self.table.get(TABLE, message.key)
            claim = decoded(row.value) if row is not None else None
            if claim is None or not claim.has_answer:
                continue
            if claim.answer is not None:
                return decoded_answer(claim.answer)
            stored = self.objects.get(claim.answer_object or "")
            return decoded_answer(stored.content) if stored is not None else None
        return None
