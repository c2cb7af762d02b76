"""Tests of the header that lists the parts of a prompt."""

from unittest import TestCase

from mimosafork.platform.prompt_parts import MAX_PARTS, shared_parts

from ...support.functions import function_tests

case = TestCase()


def test_all_parts_but_the_last_may_be_shared() -> None:
    case.assertEqual(("5c1e", "91bd"), shared_parts(b"5c1e:800,91bd:410,e440:250"))
    case.assertEqual((), shared_parts(b"e440:250"))
    case.assertEqual((), shared_parts(None))


def test_repeated_parts_count_once_in_whatever_case() -> None:
    case.assertEqual(("5c1e",), shared_parts(b"5c1e:800, 5C1E:800,e440:250"))


def test_a_part_that_is_also_the_last_one_is_read() -> None:
    """A prompt escapes its quarantine by repeating the part at its end."""
    case.assertEqual(("5c1e",), shared_parts(b"5c1e:800,5c1e:1"))


def test_malformed_lists_have_no_parts() -> None:
    """A malformed list raises an error on the path of a call."""
    for value in (
        b"",
        b",",
        b"5c1e",
        b"5c1e:800",
        b"5c1e:800,",
        b"5c1e:800,,91bd:1",
        b"5c1e:-1,91bd:1",
        b"xyz:1,91bd:1",
        b"5c1e:1:2,91bd:1",
        b"\xff\xfe:1,91bd:1",
        b"5c1e:" + b"9" * 400 + b",91bd:1",
        b"a" * 500 + b":1,91bd:1",
    ):
        case.assertEqual((), shared_parts(value), value)


def test_a_list_of_thousands_of_parts_is_read_up_to_a_limit() -> None:
    """One caller's list makes each comparison slow, and each datagram long."""
    value = b",".join(b"%x:1" % number for number in range(5000))
    case.assertEqual(MAX_PARTS, len(shared_parts(value)))


load_tests = function_tests(__name__)
