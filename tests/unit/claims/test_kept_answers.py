"""Keeping, replaying, finding and sweeping, without sockets."""

from dataclasses import replace
from datetime import timedelta
from random import Random
from typing import cast

from mimosafork.claims.answers import (
    LARGEST_KEPT_BYTES,
    AnswerCaptured,
    KeptResponse,
    KeptTokens,
    decoded_answer,
    encoded_answer,
)
from mimosafork.claims.errors import BadAnswerError
from mimosafork.claims.finder import places_of
from mimosafork.claims.keeper import LARGEST_INLINE_BYTES, AnswerKeeperTask
from mimosafork.claims.replayer import AnswerReplayer, AnswerToReplay
from mimosafork.claims.rows import RETENTION, TABLE, encoded, row_of
from mimosafork.claims.sweeper import ClaimSweeper
from mimosafork.claims.writer import StoreAnswer, WriterMessage
from mimosafork.clock import ManualClock
from mimosafork.ids import (
    ClaimId,
    ClaimKey,
    EndpointId,
    Incarnation,
    ModelId,
    RequestId,
    StreamId,
)
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.claims import (
    AnswerKept,
    AnswerReplayed,
    CandidateEndpoint,
    EndClaim,
    FindStream,
    KeepAnswer,
    ReplayAnswer,
    StreamLocation,
)
from mimosafork.relay.answers import WholeAnswer
from mimosafork.relay.capture import AnswerCapture
from mimosafork.relay.events import StreamEvent
from mimosafork.relay.replay import replay
from mimosafork.relay.shapes import CompletionShape
from mimosafork.storage.errors import StoreUnavailableError, UnknownResultError
from mimosafork.storage.objects import (
    ObjectClient,
    PreconditionFailedError,
    StoredObject,
)
from mimosafork.storage.table import Condition, Write
from tests.support.claims import other_claim
from tests.support.fake_table import FakeTable
from tests.support.functions import function_tests

NAME = RequestId("r")
KEEP = KeepAnswer(NAME, ClaimKey("k"), ClaimId("c"))
SHORT = KeptTokens(("Dear ", "council"), (1, 2), "length", 9)


class FakeObjects:
    """An object store in memory that fails on demand.

    Attributes
    ----------
    losing : int
        So many writes take effect and their answers are lost.
    """

    def __init__(self) -> None:
        self.contents: dict[str, bytes] = {}
        self.down = False
        self.losing = 0

    def get(self, key: str) -> StoredObject | None:
        """Return an object."""
        self._refuse_if_down()
        content = self.contents.get(key)
        return None if content is None else StoredObject(content, "")

    def create(self, key: str, content: bytes) -> str:
        """Store a new object."""
        self._refuse_if_down()
        if key in self.contents:
            raise PreconditionFailedError(key)
        self.contents[key] = content
        if self.losing:
            self.losing -= 1
            raise UnknownResultError("lost")
        return ""

    def delete(self, key: str) -> None:
        """Remove an object."""
        self.contents.pop(key, None)

    def _refuse_if_down(self) -> None:
        if self.down:
            raise StoreUnavailableError("down")


class Keeping:
    """An answer keeper and what it says."""

    def __init__(self) -> None:
        self.objects = FakeObjects()
        self.to_writer: list[WriterMessage] = []
        self.to_kernel: list[Message] = []
        objects = cast(ObjectClient, self.objects)
        self.task = AnswerKeeperTask(
            objects, self.to_writer.append, self.to_kernel.append
        )

    def keep(self, answer: KeptTokens | KeptResponse | None) -> WriterMessage:
        """Capture and keep an answer; return what the writer is told."""
        self.task.receive(AnswerCaptured(NAME, answer))
        self.task.receive(KEEP)
        (told,) = self.to_writer
        return told


def long_answer() -> KeptResponse:
    """Return an answer that is too long for a row."""
    return KeptResponse(200, (), bytes(LARGEST_INLINE_BYTES))


def test_short_answer_goes_into_the_row_and_a_long_one_beside_it() -> None:
    short = Keeping().keep(SHORT)
    assert isinstance(short, StoreAnswer)
    assert short.answer is not None
    assert decoded_answer(short.answer) == SHORT
    keeping = Keeping()
    long = keeping.keep(long_answer())
    assert isinstance(long, StoreAnswer)
    assert long.answer is None
    assert long.answer_object in keeping.objects.contents


def test_lost_answer_of_the_object_store_is_settled_by_a_second_try() -> None:
    keeping = Keeping()
    keeping.objects.losing = 1
    assert isinstance(keeping.keep(long_answer()), StoreAnswer)
    assert len(keeping.objects.contents) == 1


def test_answer_that_cannot_be_kept_ends_the_claim_and_is_told() -> None:
    """A caller is promised that a resend finds its answer, and it finds nothing.

    The object store is down, the answer is too long, or the relay had none.
    """
    for case in ("down", "too-long", "none"):
        keeping = Keeping()
        keeping.objects.down = case == "down"
        if case == "none":
            keeping.task.receive(KEEP)
            (told,) = keeping.to_writer
        else:
            told = keeping.keep(long_answer() if case == "down" else None)
        assert isinstance(told, EndClaim)
        assert keeping.to_kernel == [AnswerKept(NAME, False)]


def test_capture_stops_at_the_largest_answer() -> None:
    capture = AnswerCapture()
    text = "x" * (LARGEST_KEPT_BYTES // 2)
    ending = StreamEvent("s", 1, 2, finish="length")
    for offset in range(3):
        capture.take([StreamEvent("s", 1, offset, 1, text)])
    assert capture.whole_stream(NAME, ending).answer is None
    assert not capture.texts


def test_replay_begins_at_an_events_border_only() -> None:
    """A caller that comes back gets a word twice or misses one."""
    for offset, expected in ((0, "Dear council"), (1, "council"), (3, "")):
        answer = WholeAnswer(NAME, CompletionShape(NAME, ModelId("m"), 0))
        assert replay(SHORT, answer, offset) == b""
        assert "".join(answer.parts) == expected
        assert answer.ending.finish == "length"
    for offset in (2, 4):
        answer = WholeAnswer(NAME, CompletionShape(NAME, ModelId("m"), 0))
        assert replay(SHORT, answer, offset) is None
        assert not answer.parts


def test_replayer_reads_rows_and_objects_and_tells_when_it_cannot() -> None:
    table, objects = FakeTable(), FakeObjects()
    relayed: list[AnswerToReplay] = []
    told: list[Message] = []
    store = cast(ObjectClient, objects)
    replayer = AnswerReplayer(table, store, relayed.append, told.append)
    row = row_of(other_claim(), ManualClock().now())
    objects.contents["o"] = encoded_answer(SHORT)
    rows = {
        "inline": replace(row, answer=encoded_answer(SHORT)),
        "object": replace(row, answer_object="o"),
        "gone": replace(row, answer_object="none"),
        "bad": replace(row, answer=b"{}"),
        "unfinished": row,
    }
    for key, value in rows.items():
        table.transact(
            (Condition(TABLE, key, 0),), (Write(TABLE, key, encoded(value)),)
        )
    for key in (*rows, "absent"):
        replayer.receive(ReplayAnswer(NAME, ClaimKey(key), offset=1))
    assert [each.answer for each in relayed] == [SHORT, SHORT]
    assert told == [AnswerReplayed(NAME, False)] * 4
    table.down = True
    replayer.receive(ReplayAnswer(NAME, ClaimKey("inline"), offset=0))
    assert len(told) == 5


def test_bytes_that_are_no_answer_are_told_apart() -> None:
    for content in (b"", b"[]", b'{"type":"another"}'):
        try:
            decoded_answer(content)
        except BadAnswerError:
            continue
        raise AssertionError(content)


def test_noted_place_is_asked_first_and_once() -> None:
    noted = StreamLocation(StreamId("s.1"), EndpointId("e2"), Incarnation(1), "e2:1")
    endpoints = tuple(
        CandidateEndpoint(EndpointId(name), Incarnation(1), f"{name}:1")
        for name in ("e1", "e2")
    )
    ids = (StreamId("s.1"), StreamId("s.2"))
    places = places_of(FindStream(NAME, noted, ids, endpoints))
    assert places[0] == noted
    assert len(places) == len(set(places)) == 4


def test_sweeper_removes_expired_claims_and_their_answers_only() -> None:
    """The table grows for ever, or a running claim is swept away."""
    table, objects, clock = FakeTable(), FakeObjects(), ManualClock()
    store = cast(ObjectClient, objects)
    sweeper = ClaimSweeper(table, store, clock, Random(1))
    for number in range(20):
        left = timedelta(minutes=number)
        row = row_of(other_claim(time_left=left), clock.now())
        name = f"answer-{number}"
        objects.contents[name] = b"whole"
        value = encoded(replace(row, answer_object=name))
        key = f"{number * 11:032x}"
        table.transact((Condition(TABLE, key, 0),), (Write(TABLE, key, value),))
    clock.advance(RETENTION + timedelta(minutes=9))
    assert sweeper.sweep() == 10
    assert sweeper.sweep() == 0
    assert len(table.rows) == len(objects.contents) == 10


load_tests = function_tests(__name__)
