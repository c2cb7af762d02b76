"""What callers' headers and bodies are taken to mean."""

from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any

from mimosafork.endpoints.calls import ServiceCall
from mimosafork.ids import ServiceId
from mimosafork.kernel.configuration import FleetPolicy, ServicePolicy
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.requests import Repeatability
from mimosafork.server.bodies import (
    chat_call,
    completion_call,
    decode_chat,
    decode_completion,
)
from mimosafork.server.errors import RejectedError
from mimosafork.server.intake import is_repeatable
from mimosafork.server.options import CallOptions, read_options
from mimosafork.server.prompts import call_digest, prefix_marks, prompt_tokens
from mimosafork.standins import count_tokens
from mimosafork.standins import prefix_marks as engine_marks
from tests.support.functions import function_tests

FLEET = FleetPolicy(
    default_deadline=timedelta(seconds=60), longest_deadline=timedelta(minutes=10)
)


def options(**headers: str) -> CallOptions:
    """Read options from headers, underscores standing for hyphens."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return read_options(named, FLEET)


def rejected(call: Callable[[], Any]) -> ProblemCode:
    """Return the code with which a call is refused."""
    try:
        result = call()
    except RejectedError as error:
        return error.problem.code
    raise AssertionError(f"accepted as {result}")


def test_absent_headers_leave_the_fleets_defaults() -> None:
    read = options()
    assert read.time_left == FLEET.default_deadline
    assert read.repeatability is Repeatability.IDEMPOTENT
    assert read.idempotency_key is None and read.resume_offset == 0


def test_headers_are_read() -> None:
    read = options(
        X_Deadline_Ms="1500",
        Idempotency_Key="k",
        X_Non_Idempotent="True",
        X_Resume_Offset="7",
    )
    assert read.time_left == timedelta(seconds=1.5)
    assert read.repeatability is Repeatability.NON_IDEMPOTENT
    assert read.resume_offset == 7


def test_deadlines_that_make_no_sense_are_refused() -> None:
    for value in ("0", "-1", "1e9", "600001", "9" * 30, "", "soon", "٣"):
        code = rejected(partial(options, X_Deadline_Ms=value))
        assert code is ProblemCode.BAD_DEADLINE, value


def test_other_headers_that_make_no_sense_are_refused() -> None:
    """A mark or key that can't be read must not count as absent.

    The request would then be repeated, or its answer forgotten, against the
    caller's will.
    """
    for headers in (
        {"X_Non_Idempotent": "1"},
        {"X_Non_Idempotent": ""},
        {"Idempotency_Key": ""},
        {"Idempotency_Key": "k" * 256},
        {"X_Resume_Offset": "3"},
        {"X_Resume_Offset": "-3", "Idempotency_Key": "k"},
    ):
        code = rejected(partial(options, **headers))
        assert code is ProblemCode.MALFORMED, headers


def test_a_services_timeout_is_its_default_time() -> None:
    read = read_options({}, FLEET, timedelta(seconds=3))
    assert read.time_left == timedelta(seconds=3)


def test_chats_become_prompts() -> None:
    body = (
        b'{"model":"m","max_completion_tokens":5,"temperature":0.1,"messages":['
        b'{"role":"system","content":"Be brief."},'
        b'{"role":"user","content":[{"type":"text","text":"Dear "},'
        b'{"type":"text","text":"council"}]}]}'
    )
    call = chat_call(decode_chat(body))
    expected = "system: Be brief.\n\nuser: Dear council\n\nassistant: "
    assert call.prompt == expected
    assert call.max_tokens == 5


def test_bodies_that_can_not_be_served_are_refused() -> None:
    for body in (
        b"",
        b"[]",
        b'{"model":"m"}',
        b'{"model":"m","prompt":["a","b"]}',
        b'{"model":"m","prompt":"a","n":2}',
        b'{"model":"m","prompt":"a","max_tokens":0}',
    ):
        code = rejected(partial(decode_completion, body))
        assert code is ProblemCode.MALFORMED, body
    picture = b'[{"role":"user","content":[{"type":"image_url","text":"x"}]}]'
    for messages in (b"[]", b'[{"role":"user"}]', picture):
        body = b'{"model":"m","messages":' + messages + b"}"
        assert rejected(partial(decode_chat, body)) is ProblemCode.MALFORMED


def test_prompts_are_counted_and_marked_as_engines_do() -> None:
    for prompt in ("", "a", "déjà vu " * 600, "x" * 4096 * 9, "ledger" * 30_000):
        data = prompt.encode()
        assert prompt_tokens(data) == count_tokens(prompt)
        digests = tuple(mark.digest for mark in prefix_marks(data))
        assert digests == engine_marks(prompt)


def test_the_digest_tells_calls_apart_by_all_that_decides_their_answer() -> None:
    bodies = (
        b'{"model":"m","prompt":"ab"}',
        b'{"model":"ma","prompt":"b"}',
        b'{"model":"m","prompt":"ab","max_tokens":7}',
        b'{"model":"m","prompt":"ab","adapter":"x"}',
    )
    calls = [completion_call(decode_completion(body)) for body in bodies]
    calls_again = [completion_call(decode_completion(body)) for body in bodies]
    digests = [call_digest(call) for call in calls]
    assert len(set(digests)) == len(bodies)
    assert digests == [call_digest(call) for call in calls_again]


def test_calls_that_may_not_be_repeated_are_known_by_their_path() -> None:
    policy = ServicePolicy(ServiceId("f"), timedelta(seconds=1), ("POST /drafts",))

    def repeatable(method: str, path: str) -> bool:
        call = ServiceCall(ServiceId("f"), method, path, (), b"")
        return is_repeatable(policy, call)

    assert not repeatable("POST", "/drafts")
    assert not repeatable("POST", "/drafts/7?x=1")
    assert repeatable("GET", "/drafts/7")
    assert repeatable("POST", "/status?to=/drafts")


load_tests = function_tests(__name__)
