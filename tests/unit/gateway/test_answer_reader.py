"""Tests of the answer reader: where an answer ends, and what belongs to none."""

from dataclasses import dataclass, field
from unittest import TestCase

from mimosafork.gateway.errors import BadResponseError
from mimosafork.gateway.response_reader import (
    MAX_NON_BODY_BYTES,
    ResponseHead,
    ResponseReader,
    ResponseSink,
)

from ...support.functions import function_tests

case = TestCase()

PLAIN = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nhello"


@dataclass
class Heard:
    """What a reader told of one answer."""

    heads: list[ResponseHead] = field(default_factory=list)
    body: bytes = b""
    ended: int = 0

    def sink(self) -> ResponseSink:
        return ResponseSink(self.heads.append, self.add, self.end)

    def add(self, data: bytes) -> None:
        self.body += data

    def end(self) -> None:
        self.ended += 1


def reader_of(heard: Heard, without_body: bool = False) -> ResponseReader:
    reader = ResponseReader()
    reader.expect(heard.sink(), without_body)
    return reader


def test_answers_end_where_they_say() -> None:
    for data in (PLAIN, CHUNKED):
        heard = Heard()
        reader = reader_of(heard)
        for place in range(len(data)):
            case.assertEqual(0, heard.ended)
            reader.feed(data[place : place + 1])
        case.assertEqual(
            (b"hello", 1, False), (heard.body, heard.ended, reader.unexpected_bytes)
        )
        case.assertFalse(reader.finish())
        case.assertTrue(heard.heads[0].framed)


def test_answers_follow_each_other() -> None:
    first, second = Heard(), Heard()
    reader = reader_of(first)
    reader.feed(PLAIN)
    reader.expect(second.sink(), False)
    reader.feed(CHUNKED)
    case.assertEqual((b"hello", 1), (second.body, second.ended))
    case.assertEqual((1, False), (first.ended, reader.unexpected_bytes))


def test_an_unframed_answer_ends_with_an_orderly_end() -> None:
    heard = Heard()
    reader = reader_of(heard)
    reader.feed(UNFRAMED)
    case.assertEqual((0, False), (heard.ended, heard.heads[0].framed))
    case.assertTrue(heard.heads[0].closes)
    case.assertTrue(reader.finish())
    case.assertEqual((b"hello", 1), (heard.body, heard.ended))


def test_an_early_end_completes_nothing() -> None:
    for data in (b"", PLAIN[:10], PLAIN[:-1], CHUNKED[:-1], CHUNKED[:-7]):
        heard = Heard()
        reader = reader_of(heard)
        reader.feed(data)
        case.assertFalse(reader.finish())
        case.assertEqual(0, heard.ended)


def test_bytes_behind_an_answer_are_stray() -> None:
    """An endpoint sends an answer twice, or garbage behind it.

    The bytes belong to no request: taken for the next call's answer they would give
    one caller what is another's.
    """
    for extra in (PLAIN, b"H", b"\x00\x17not", b"HTTP/1.1 200 OK\r\n\r\n"):
        heard = Heard()
        reader = reader_of(heard)
        reader.feed(PLAIN + extra)
        case.assertEqual(
            (b"hello", 1, True), (heard.body, heard.ended, reader.unexpected_bytes)
        )
        later = Heard()
        reader = reader_of(later)
        reader.feed(PLAIN)
        reader.feed(extra)
        case.assertTrue(reader.unexpected_bytes)
        case.assertEqual(1, len(later.heads))


def test_garbage_is_no_answer() -> None:
    for data in (
        b"\x00\x17not an answer\r\n\r\n\xff",
        b"HTTP/9.9 abc\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nab",
    ):
        heard = Heard()
        reader = reader_of(heard)
        with case.assertRaises(BadResponseError):
            reader.feed(data)
        case.assertEqual((0, True), (heard.ended, reader.unexpected_bytes))


def test_interim_answers_are_passed_over() -> None:
    heard = Heard()
    reader = reader_of(heard)
    reader.feed(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n")
    case.assertEqual(([], 0), (heard.heads, heard.ended))
    reader.feed(PLAIN)
    case.assertEqual(
        (200, b"hello", 1), (heard.heads[0].status, heard.body, heard.ended)
    )
    case.assertEqual((b"OK", False), (heard.heads[0].reason, reader.unexpected_bytes))


def test_answers_without_a_body() -> None:
    for data in (
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ):
        heard = Heard()
        reader = reader_of(heard)
        reader.feed(data)
        case.assertEqual(
            (b"", 1, False), (heard.body, heard.ended, reader.unexpected_bytes)
        )
        again = Heard()
        reader.expect(again.sink(), False)
        reader.feed(PLAIN)
        case.assertEqual((b"hello", 1), (again.body, again.ended))


def test_answers_to_head_leave_nothing_that_hides_the_next_one() -> None:
    """A call on a kept connection never gets its answer.

    The answer to a HEAD request stated no length, or chunks; the parser awaited a
    body that doesn't come, and took the next call's answer for it.
    """
    for framing in (
        b"Content-Length: 5\r\n",
        b"Content-Length: 0\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"",
    ):
        with case.subTest(framing=framing):
            heard = Heard()
            reader = reader_of(heard, without_body=True)
            reader.feed(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n")
            case.assertEqual((b"", 1), (heard.body, heard.ended))
            if reader.unexpected_bytes:
                continue
            again = Heard()
            reader.expect(again.sink(), False)
            reader.feed(PLAIN)
            case.assertEqual((b"hello", 1), (again.body, again.ended))


def test_a_fault_of_ones_own_is_not_taken_for_the_endpoints() -> None:
    """An endpoint is blamed for an exception of this program.

    The parser wraps what its callbacks raise into an error of its own; taken for
    bytes that are no answer, a fault in the handling of answers was never seen.
    """

    def fail(_: bytes) -> None:
        raise ZeroDivisionError

    reader = ResponseReader()
    heard = Heard()
    reader.expect(ResponseSink(heard.heads.append, fail, heard.end), False)
    with case.assertRaises(ZeroDivisionError):
        reader.feed(PLAIN)


def test_what_is_no_body_has_a_bound() -> None:
    """The instance runs out of memory for one endpoint.

    The parser keeps a line until it ends; heads, interim answers and trailers that
    come without end were kept for as long as the call was open.
    """
    begun = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
    for start, more in (
        (b"HTTP/1.1 200 OK\r\nX-Line: ", b"x" * 1000),
        (b"HTTP/1.1 200 OK\r\n", b"X-Line: x\r\n" * 100),
        (b"", b"HTTP/1.1 103 Early\r\n\r\n" * 50),
        (begun + b"0\r\n", b"X-Line: x\r\n" * 100),
        (begun + b"5;", b"x" * 1000),
    ):
        heard = Heard()
        reader = reader_of(heard)
        reader.feed(start)
        with case.assertRaises(BadResponseError):
            for _ in range(2 * MAX_NON_BODY_BYTES // len(more)):
                reader.feed(more)
        case.assertTrue(reader.unexpected_bytes)
        case.assertEqual(0, heard.ended)


def test_many_answers_on_one_connection_reach_no_bound() -> None:
    reader = ResponseReader()
    for _ in range(2 * MAX_NON_BODY_BYTES // len(CHUNKED)):
        heard = Heard()
        reader.expect(heard.sink(), False)
        reader.feed(CHUNKED)
        case.assertEqual(1, heard.ended)
    for _ in range(2 * MAX_NON_BODY_BYTES // len(PLAIN)):
        heard = Heard()
        reader.expect(heard.sink(), True)
        reader.feed(b"HTTP/1.1 204 No Content\r\n\r\n")
        case.assertEqual((1, False), (heard.ended, reader.unexpected_bytes))


load_tests = function_tests(__name__)
