"""Tests of message heads: ambiguous input is rejected."""

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


def assert_rejected(
    *lines: bytes, first: bytes = LINE, host: bytes = HOST_LINE
) -> None:
    with case.assertRaises(BadRequestError) as caught:
        head_of(*lines, first=first, host=host)
    case.assertEqual(HTTPStatus.BAD_REQUEST, caught.exception.status)


def test_a_valid_head_is_parsed() -> None:
    head = head_of(b"X-A:  1 \t", b"x-a:2", b"Content-Length: 12")
    case.assertEqual((b"POST", b"/a/b?c=%20d", 1), (head.method, head.target, 1))
    case.assertEqual(("/a/b", "front.example"), (head.path, head.host))
    case.assertEqual(12, head.content_length)
    case.assertEqual([b"1", b"2"], [h.value for h in head.headers[1:3]])
    case.assertEqual(0, head_of().content_length)
    case.assertIsNone(head_of(b"Transfer-Encoding: Chunked").content_length)


def test_ambiguous_framing_is_rejected() -> None:
    """A request is smuggled in the body of another.

    The gateway uses one of two lengths and the endpoint the other; the bytes in between
    run as a request that no caller sent.
    """
    chunked = b"Transfer-Encoding: chunked"
    assert_rejected(chunked, b"Content-Length: 3")
    assert_rejected(b"Content-Length: 3", b"Content-Length: 3")
    assert_rejected(b"Content-Length: 3", b"content-length: 4")
    assert_rejected(chunked, chunked)
    assert_rejected(b"Transfer-Encoding: gzip, chunked")
    assert_rejected(b"Transfer-Encoding: chunked, identity")
    assert_rejected(b"Transfer-Encoding: xchunked")
    assert_rejected(b"Transfer-Encoding:")
    assert_rejected(chunked, first=b"POST / HTTP/1.0")
    for length in (b"", b"+3", b"-1", b"3, 3", b"0x3", b"3 3", b"9" * 16, b"\xb2"):
        assert_rejected(b"Content-Length: " + length)


def test_malformed_header_lines_are_rejected() -> None:
    """A header is recognised by one side and not by the other.

    Servers differ in how they parse folded lines, whitespace before a colon and bare
    CR or LF, so a length can be hidden in them.
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
        assert_rejected(line)


def test_malformed_request_lines_are_rejected() -> None:
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
        assert_rejected(first=first)


def test_exactly_one_host_header_is_required() -> None:
    assert_rejected(b"Host: other.example")
    assert_rejected(host=b"X-A: b")
    old = head_of(first=b"GET / HTTP/1.0", host=b"X-A: b")
    case.assertEqual(("", False), (old.host, old.keeps_alive))


def test_keep_alive_and_expect() -> None:
    case.assertTrue(head_of().keeps_alive)
    case.assertFalse(head_of(b"Connection: x, CLOSE").keeps_alive)
    old = head_of(b"Connection: Keep-Alive", first=b"GET / HTTP/1.0")
    case.assertTrue(old.keeps_alive)
    case.assertTrue(head_of(b"Expect: 100-Continue").expects_continue)
    case.assertFalse(head_of(b"Expect: else").expects_continue)


def test_hop_by_hop_headers_are_dropped() -> None:
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


def test_a_head_is_rendered_unchanged() -> None:
    head = head_of(b"X-A: 1", b"x-a: 2")
    data = render_head(LINE, head.headers)
    case.assertEqual(LINE + b"\r\n" + HOST_LINE + b"\r\nX-A: 1\r\nx-a: 2", data[:-4])
    case.assertEqual(b"\r\n\r\n", data[-4:])


load_tests = function_tests(__name__)
