"""`mimosafork explain` names the cause of recorded failures.

The logs are of played days, shortened: lines of other calls are left out, and in each
one line is cut off in the middle, as it happens where a process is killed.
"""

from collections.abc import Iterator
from pathlib import Path

from mimosafork.explain.lines import LogReader, LogSource
from mimosafork.explain.stories import CallStory, EndpointStory, Story, VersionStory
from tests.support.commands import run_command
from tests.support.functions import function_tests

RECORDED = Path(__file__).resolve().parents[2] / "data" / "explain"
REFUSED = "refused-though-free.log"
BROKEN = "stream-not-resumed.log"
UNSAFE = "unsafe-call-502.log"
CROWDED = "stream-without-place.log"
FROZEN = "refused-after-freeze.log"
FROZEN_CALL = "ec61d7f6d2549037"
MILLION = 1_000_000


def told(story: CallStory | EndpointStory | VersionStory, *names: str) -> Story:
    reader = LogReader(story.wanted)
    lines = [(RECORDED / name).read_bytes().splitlines(True) for name in names]
    sources = [LogSource(*pair) for pair in zip(names, lines, strict=True)]
    return story.tell(reader.read(sources))


def test_call_refused_though_places_were_free_is_explained() -> None:
    """A caller with a huge prompt is told 503, while 12 of 12 endpoints are usable.

    Its instance had started 250 ms before and had heard of few of its peers' calls;
    each endpoint to which it sent the call had no room and refused it, and after six
    refusals the policy of repeats gave up.
    """
    cause = told(CallStory("41d4689651cec302"), REFUSED).cause
    assert cause.startswith("told 503: i-2b5010e616 refused it")
    assert "budgeted-retry tried no more as it was refused too often" in cause
    assert (
        "it knew 12 usable of 12 endpoints, 5 calls of its own and 6 of its 6 peers"
        in cause
    )
    assert "its instance had started 250 ms before" in cause


def test_broken_stream_that_was_not_resumed_is_explained() -> None:
    """A reader sees its text stop in the middle.

    The connection to the first endpoint broke after 24 events, that to the second
    one before it had sent any more, and the route allows two attempts.
    """
    story = told(CallStory("5fa0be3cc12c6ab4"), BROKEN)
    assert story.cause == (
        "stream broken off after 24 events and not resumed: i-5b887e1a41 broke the "
        "connection after 24 events; i-d24fef33c3 broke the connection after 24 "
        "events; budgeted-retry tried no more as all attempts are used"
    )
    assert [line.event for line in story.lines][-4:] == [
        "MF2020",
        "MF2031",
        "MF2020",
        "MF2011",
    ]


def test_unsafe_call_that_was_told_502_is_explained() -> None:
    """A caller of something that may run only once is told 502.

    The endpoint's connection broke 2 ms after the call was sent: it may have run, so
    no other endpoint may get it.
    """
    assert told(CallStory("414d75934c02a75b"), UNSAFE).cause == (
        "told 502 as its fate is unknown: i-a101f92205 broke the connection after it "
        "was sent; budgeted-retry tried no more as it may have run and may not run "
        "again"
    )


def test_stream_for_which_no_place_was_left_is_explained() -> None:
    """A reader's text stops in the middle of a crowded time.

    The endpoint fell silent after 43 events. To go on elsewhere the stream needed a
    slot, all were taken, and it had used up the time for which placement waits.
    """
    cause = told(CallStory("1388fc03d8f28c93"), CROWDED).cause
    assert cause.startswith(
        "stream broken off after 43 events and not resumed by work-placer after "
        "i-069418a01d fell silent after 43 events: all slots are taken"
    )
    assert "122 of its 8 peers running, 5 waiting; peers' load 77 ms old" in cause


def test_refusal_by_an_old_picture_after_a_freeze_is_explained() -> None:
    """A machine stands still for 3.5 s; what came meanwhile is decided at once after.

    The peers' load was 3728 ms old when the call was refused. The freeze is told by
    the tick that ends it, some milliseconds after the refusal.
    """
    cause = told(CallStory(FROZEN_CALL), FROZEN).cause
    assert cause.startswith("refused with 503 by work-placer: all slots are taken")
    assert "peers' load 3728 ms old" in cause
    assert cause.endswith("its instance had stood still for 3500 ms just before")


def test_logs_of_several_days_and_instances_are_read_at_once() -> None:
    story = told(CallStory("414d75934c02a75b"), REFUSED, BROKEN, UNSAFE)
    assert {line.instance for line in story.lines} == {"front-sala-pichincha-2"}
    assert [line.time for line in story.lines] == sorted(
        line.time for line in story.lines
    )


def test_endpoint_is_told_with_its_failures_and_beliefs() -> None:
    story = told(EndpointStory("i-a101f92205"), UNSAFE)
    assert "1 attempts there failed (1 broken)" in story.cause
    assert {"MF2020", "MF2031"} <= {line.event for line in story.lines}


def test_version_is_told_with_its_spread_and_what_came_by_it() -> None:
    story = told(VersionStory(35), REFUSED)
    assert story.cause.startswith("in force on 1 instances within 0 ms (1 by store)")
    assert "1 were not" in story.cause


def test_what_the_log_does_not_name_has_no_story() -> None:
    assert told(CallStory("0000"), REFUSED) == Story((), "no line names it")


def test_bad_lines_are_counted_and_harm_nothing() -> None:
    reader = LogReader(CallStory("1").wanted)
    bad = [b"\xff\xfe{", b"no json at all\n", b'{"event":1}\n', b'x {"event":"MF1",']
    lines = [*bad, b"\n", b'a b {"event":"MF2040","fields":{},"time":"t"}\n']
    (found,) = reader.read([LogSource("name", lines)])
    assert (found.instance, found.event) == ("b", "MF2040")
    assert (reader.tally.lines, reader.tally.bad) == (5, 4)


def test_million_lines_are_read_and_only_those_of_the_call_are_kept() -> None:
    """An on-call engineer asks for one call in the log of a whole day.

    A million lines of other calls are between its two; they must neither be kept in
    memory nor hide it.
    """
    recorded = (RECORDED / UNSAFE).read_bytes().splitlines(True)
    own = [line for line in recorded if b"414d75934c02a75b" in line]
    other = next(line for line in recorded if b"MF2010" in line)

    def lines() -> Iterator[bytes]:
        yield own[0]
        for _ in range(MILLION):
            yield other
        yield from own[1:]

    story = CallStory("414d75934c02a75b")
    reader = LogReader(story.wanted)
    found = reader.read([LogSource("day", lines())])
    assert len(found) == len(own)
    assert reader.tally.lines == MILLION + len(own)
    assert story.tell(found).cause.startswith("told 502 as its fate is unknown")


def test_command_prints_the_life_and_the_cause_last() -> None:
    path = str(RECORDED / UNSAFE)
    ended = run_command("explain", "414d75934c02a75b", path)
    assert ended.code == 0
    assert ended.out.splitlines()[-1].startswith("cause: told 502")
    assert "repeatability=non-idempotent" in ended.out
    assert "1 of them could not be read" in ended.err
    again = run_command(
        "explain", "414d75934c02a75b", stdin=Path(path).read_text("utf-8")
    )
    assert again.out == ended.out


def test_command_says_by_its_code_what_it_lacks() -> None:
    path = str(RECORDED / UNSAFE)
    assert run_command("explain", "0000", path).code == 1
    assert run_command("explain").code == 2
    assert run_command("explain", "--endpoint", "e", "--config", "1", path).code == 2
    missing = run_command("explain", "0000", "/nowhere/a.log")
    assert missing.code == 3
    assert "/nowhere/a.log" in missing.err


load_tests = function_tests(__name__)
