"""The task that stores whole answers."""

from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod
from logging import getLogger

from ..ids import RequestId
from ..kernel.messages.base import Effect, Message
from ..kernel.messages.claims import AnswerKept, EndClaim, KeepAnswer
from ..kernel.messages.outcomes import Outcome
from ..runtime.task import Task
from ..storage.errors import PlatformError, UnknownResultError
from ..storage.objects import ObjectClient, PreconditionFailedError
from ..telemetry.catalogue.claims import ANSWER_NOT_KEPT
from ..telemetry.logs import log_event
from .answers import AnswerCaptured, KeptAnswer, encoded_answer
from .writer import StoreAnswer, WriterMessage

logger = getLogger(__name__)

LARGEST_INLINE_BYTES = 8 << 10
"""An answer up to this size stands in the claim's row and costs no write of its
own: most answers do, and the store takes only several hundred writes a second."""

MOST_CAPTURED = 512
KeeperMessage = AnswerCaptured | Effect


class AnswerKeeperTask(Task[KeeperMessage]):
    """Puts captured answers where a resend finds them.

    Parameters
    ----------
    objects : ObjectClient
    tell_writer : Callable
        Takes the end of a claim.
    tell_kernel : Callable
    """

    def __init__(
        self,
        objects: ObjectClient,
        tell_writer: Callable[[WriterMessage], None],
        tell_kernel: Callable[[Message], None],
    ) -> None:
        super().__init__("answer-keeper")
        self.objects = objects
        self.tell_writer = tell_writer
        self.tell_kernel = tell_kernel
        self.captured: OrderedDict[RequestId, KeptAnswer | None] = OrderedDict()

    def wait_time(self) -> timedelta | None:
        """Wait for messages only."""
        return None

    @singledispatchmethod
    def receive(self, message: KeeperMessage) -> None:
        """Handle one message."""
        raise NotImplementedError(type(message).__name__)

    @receive.register
    def _(self, message: AnswerCaptured) -> None:
        self.captured[message.request_id] = message.answer
        # The kernel may have concluded the request otherwise meanwhile and then
        # never asks for its answer.
        if len(self.captured) > MOST_CAPTURED:
            self.captured.popitem(last=False)

    @receive.register
    def _(self, message: KeepAnswer) -> None:
        answer = self.captured.pop(message.request_id, None)
        if answer is None:
            self._end_without(message)
            return
        content = encoded_answer(answer)
        if len(content) <= LARGEST_INLINE_BYTES:
            stored = StoreAnswer(message.request_id, message.claim_id, answer=content)
            self.tell_writer(stored)
            return
        name = object_name(message)
        if not self._put(name, content):
            self._end_without(message)
            return
        stored = StoreAnswer(message.request_id, message.claim_id, answer_object=name)
        self.tell_writer(stored)

    def _put(self, name: str, content: bytes) -> bool:
        """Store an object; return whether it is there.

        A lost answer is settled by a second try, which finds the object or makes
        it: its name belongs to one claim and its content never changes.
        """
        for _ in range(2):
            try:
                self.objects.create(name, content)
                return True
            except PreconditionFailedError:
                return True
            except UnknownResultError:
                continue
            except PlatformError as error:
                log_event(logger, ANSWER_NOT_KEPT, answer=name, why=error)
                return False
        return False

    def _end_without(self, message: KeepAnswer) -> None:
        """End the claim without the answer: the caller has it and is told."""
        end = EndClaim(message.key, message.claim_id, Outcome.COMPLETED)
        self.tell_writer(end)
        self.tell_kernel(AnswerKept(message.request_id, False))


def object_name(message: KeepAnswer) -> str:
    """Return the name of the object that has a claim's answer."""
    return f"answers/{message.key}/{message.claim_id}"
