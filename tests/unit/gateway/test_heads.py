"""Tests of heads: whatever could be read in two ways is refused."""

from http import HTTPStatus
from unittest import TestCase

from mimosafork.gateway.errors import BadRequestError
from mimosafork.gateway.heads import (
    Header,
    RequestHead,
    end_to_end_headers,
    parse_request_head,
    render_head,
)

from ...support.functions import function_tests

case = TestCase()

LINE = b"POST /a/b?c=%20d HTTP/1.1"
HOST_LINE = b"Host: Front.Example:8080"


def head_of(*lines: bytes, first: bytes = LINE, host: bytes = HOST_LINE) -> RequestHead:
    return parse_request_head(b"\r\n".join((first, host, *lines)))


def refused(*lines: bytes, first: bytes = LINE, host: bytes = HOST_LINE) -> None:
    with case.assertRaises(BadRequestError) as caught:
        head_of(*lines, first=first, host=host)
    case.assertEqual(HTTPStatus.BAD_REQUEST, caught.exception.status)


def test_a_proper_head_is_read_as_it_stands() -> None:
    head = head_of(b"X-A:  1 \t", b"x-a:2", b"Content-Length: 12")
    case.assertEqual((b"POST", b"/a/b?c=%20d", 1), (head.method, head.target, 1))
    case.assertEqual(("/a/b", "front.example"), (head.path, head.host))
    case.assertEqual(12, head.content_length)
    case.assertEqual([b"1", b"2"], [h.value for h in head.headers[1:3]])
    case.assertEqual(0, head_of().content_length)
    case.assertIsNone(head_of(b"Transfer-Encoding: Chunked").content_length)


def test_ambiguous_framing_is_refused() -> None:
    """A request hides inside the body of another.

    The gateway goes by one of two lengths and the endpoint by the other; what lies
    between them is run as a request that no caller sent.
    """
    chunked = b"Transfer-Encoding: chunked"
    refused(chunked, b"Content-Length: 3")
    refused(b"Content-Length: 3", b"Content-Length: 3")
    refused(b"Content-Length: 3", b"content-length: 4")
    refused(chunked, chunked)
    refused(b"Transfer-Encoding: gzip, chunked")
    refused(b"Transfer-Encoding: chunked, identity")
    refused(b"Transfer-Encoding: xchunked")
    refused(b"Transfer-Encoding:")
    refused(chunked, first=b"POST / HTTP/1.0")
    for length in (b"", b"+3", b"-1", b"3, 3", b"0x3", b"3 3", b"9" * 16, b"\xb2"):
        refused(b"Content-Length: " + length)


def test_odd_lines_are_refused() -> None:
    """A header is seen by one side and not by the other.

    Folded lines, blanks before a colon and bare line ends are read in different
    ways by different servers, so a length can be hidden in them.
    """
    for line in (
        b" folded: x",
        b"\tfolded",
        b"Content-Length : 3",
        b"Content Length: 3",
        b"no colon",
        b": empty",
        b"X-A: b\nContent-Length: 3",
        b"X-A: b\rContent-Length: 3",
        b"X-A: \x00",
        b"X-\x80: 1",
        b"",
    ):
        refused(line)


def test_odd_request_lines_are_refused() -> None:
    for first in (
        b"",
        b"GET /",
        b"get / HTTP/1.1",
        b"GET  / HTTP/1.1",
        b"GET / HTTP/1.1 ",
        b"GET / HTTP/2.0",
        b"GET / HTTP/1.1\nX: y",
        b"GET /a b HTTP/1.1",
        b"GET /\x7f HTTP/1.1",
        b"GET http://front.example/ HTTP/1.1",
        b" GET / HTTP/1.1",
    ):
        refused(first=first)


def test_there_is_one_host() -> None:
    refused(b"Host: other.example")
    refused(host=b"X-A: b")
    old = head_of(first=b"GET / HTTP/1.0", host=b"X-A: b")
    case.assertEqual(("", False), (old.host, old.keeps_alive))


def test_whether_a_connection_is_kept() -> None:
    case.assertTrue(head_of().keeps_alive)
    case.assertFalse(head_of(b"Connection: x, CLOSE").keeps_alive)
    old = head_of(b"Connection: Keep-Alive", first=b"GET / HTTP/1.0")
    case.assertTrue(old.keeps_alive)
    case.assertTrue(head_of(b"Expect: 100-Continue").expects_continue)
    case.assertFalse(head_of(b"Expect: else").expects_continue)


def test_headers_of_one_connection_end_here() -> None:
    head = head_of(
        b"Connection: X-Hop, close",
        b"x-hop: 1",
        b"Keep-Alive: timeout=5",
        b"Transfer-Encoding: chunked",
        b"TE: trailers",
        b"Trailer: X-T",
        b"Upgrade: h2c",
        b"Proxy-Authorization: z",
        b"Proxy-Connection: close",
        b"Expect: 100-continue",
        b"X-Kept: \xe4",
    )
    expected = [Header(b"Host", b"Front.Example:8080"), Header(b"X-Kept", b"\xe4")]
    case.assertEqual(expected, end_to_end_headers(head.headers))


def test_a_head_is_rendered_as_it_was_read() -> None:
    head = head_of(b"X-A: 1", b"x-a: 2")
    data = render_head(LINE, head.headers)
    case.assertEqual(LINE + b"\r\n" + HOST_LINE + b"\r\nX-A: 1\r\nx-a: 2", data[:-4])
    case.assertEqual(b"\r\n\r\n", data[-4:])


load_tests = function_tests(__name__)
