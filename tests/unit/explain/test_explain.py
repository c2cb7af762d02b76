"""`mimosafork explain` names the cause of recorded failures.

The logs are of played days, shortened: lines of other calls are left out, and in each
one line is cut off in the middle, as it happens where a process is killed. Those of a
withdrawn key and of a zone behind resets are whole, of one instance before stand-ins of
the platform.
"""

from collections.abc import Iterator
from pathlib import Path

from mimosafork.explain import events
from mimosafork.explain.causes import attempt_text, cause_of
from mimosafork.explain.lines import LogLine, LogReader, LogSource
from mimosafork.explain.links import ZoneStory
from mimosafork.explain.stories import (
    CallStory,
    EndpointStory,
    Story,
    VersionStory,
    surrounds,
)
from tests.support.commands import run_command
from tests.support.functions import function_tests

RECORDED = Path(__file__).resolve().parents[2] / "data" / "explain"
REFUSED = "refused-though-free.log"
BROKEN = "stream-not-resumed.log"
UNSAFE = "unsafe-call-502.log"
CROWDED = "stream-without-place.log"
FROZEN = "refused-after-freeze.log"
WITHDRAWN = "key-withdrawn.log"
RESTORED = "store-restored.log"
BEHIND_RESETS = "zone-behind-resets.log"
FROZEN_CALL = "ec61d7f6d2549037"
MILLION = 1_000_000


def told(
    story: CallStory | EndpointStory | VersionStory | ZoneStory, *names: str
) -> Story:
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


def test_configuration_that_withdrew_a_callers_key_is_named() -> None:
    """A caller is told 401 from one minute to the next.

    Configuration 4 had taken its key away; by the time it called, configuration 7 was
    in force, which changed one route only, and by which it was refused.
    """
    story = told(CallStory("c41d9be2037fa658"), WITHDRAWN)
    assert story.cause.startswith(
        "refused with 401 by routing: configuration 7 knows no account with its API "
        "key, which the store confirmed 313 ms before; configuration 4, taken 925 ms "
        "before, changed keys +1 -2"
    )


def test_change_that_refused_a_caller_is_shown_however_old_it_is() -> None:
    """The key went a day before its caller came again.

    The line of that configuration is among those of the call though all others from
    that time are left out.
    """
    reader = LogReader(CallStory("c41d9be2037fa658").wanted)
    lines = (RECORDED / WITHDRAWN).read_bytes().splitlines(True)
    day_before = [line.replace(b"2026-12-02T", b"2026-12-01T") for line in lines[:-1]]
    read = reader.read([LogSource("day", [*day_before, lines[-1]])])
    story = CallStory("c41d9be2037fa658").tell(read)
    assert [line.event for line in story.lines] == ["MF2101", "MF2012"]
    assert "configuration 4, taken 86400925 ms before" in story.cause


def test_keys_that_another_instance_lost_refuse_nothing_here() -> None:
    """Of two instances one lags behind; each refuses by what it has itself taken."""
    lines = (RECORDED / WITHDRAWN).read_bytes().splitlines(True)
    other = [line.replace(b"entry-1 {", b"entry-2 {") for line in lines[:-1]]
    reader = LogReader(CallStory("c41d9be2037fa658").wanted)
    read = reader.read([LogSource("day", [*other, lines[-1]])])
    assert "changed keys" not in CallStory("c41d9be2037fa658").tell(read).cause


def test_configuration_that_a_restored_store_brought_back_is_told() -> None:
    """The store comes back with an older configuration, which no instance applies."""
    story = told(VersionStory(55), RESTORED)
    assert [line.event for line in story.lines] == ["MF2101", "MF2113", "MF2114"]
    assert story.cause.endswith(
        "not applied on 1 instances in era 2 (older, 58 in force)"
    )


def test_link_that_broke_under_a_call_is_named_with_both_zones() -> None:
    """All connections into zone-b are reset, and its endpoints stay listed.

    It looked like a reset of all connections, or like two endpoints that crash.
    """
    cause = told(CallStory("703bf8a2960c5ed1"), BEHIND_RESETS).cause
    assert cause.startswith(
        "told 502: i-75a411f5 broke the connection (a reset, from zone-a to zone-b); "
        "i-61718ff8 broke the connection (a reset, from zone-a to zone-b); "
        "budgeted-retry tried no more as all attempts are used"
    )


def test_zone_is_told_with_the_ways_that_failed() -> None:
    story = told(ZoneStory("zone-b"), BEHIND_RESETS)
    assert story.cause == (
        "8 attempts were not heard from 2026-12-02T22:39:46.044+00:00 to "
        "2026-12-02T22:39:46.083+00:00, 8 of them across its border: 8 from zone-a to "
        "zone-b (8 reset)"
    )
    assert [line.event for line in story.lines].count("MF2102") == 2
    assert told(ZoneStory("zone-c"), BEHIND_RESETS).lines == ()


def told_end(**fields: object) -> str:
    """Return the cause of a call that is told by one line of its end."""
    event = fields.pop("event")
    line = LogLine("i", "2026-12-02T22:00:00.000+00:00", str(event), "", fields)
    return cause_of([line])


def test_caller_that_left_is_told_with_the_silence_before() -> None:
    """A caller leaves after two seconds without an event, or out of its own will."""
    cause = told_end(
        event="MF2011",
        why="caller-gone",
        total_ms=4100,
        first_ms=300,
        events=12,
        since_event_ms=2010,
    )
    assert cause == (
        "the caller closed its connection after 4100 ms, having got 12 events, the "
        "last of them 2010 ms before"
    )


def test_first_event_that_came_later_than_expected_is_named() -> None:
    fields = {"event": "MF2010", "status": 200, "total_ms": 9000, "first_ms": 4000}
    late = told_end(**fields, expected_ms=900)
    assert "its first event after 4000 ms, expected after 900 ms" in late
    assert "expected" not in told_end(**fields, expected_ms=3500)


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


def test_version_is_told_with_its_changes_against_each_that_it_replaced() -> None:
    """One instance was cut off and passed a version over: its changes are others."""
    lines = (RECORDED / WITHDRAWN).read_bytes().splitlines(True)
    late = next(line for line in lines if b'"before":4' in line)
    late = late.replace(b"entry-1 {", b"entry-2 {")
    late = late.replace(b'"before":4', b'"before":1')
    late = late.replace(b"routes ~1", b"routes ~1, keys +1 -2")
    reader = LogReader(VersionStory(7).wanted)
    cause = VersionStory(7).tell(reader.read([LogSource("day", [*lines, late])])).cause
    assert cause == (
        "in force on 2 instances within 0 ms (2 by store); against version 4 it "
        "changed routes ~1; against version 1 it changed routes ~1, keys +1 -2; by it "
        "1 calls were served, 0 were not, 1 were refused by routing"
    )


def test_attempts_that_were_held_back_are_explained() -> None:
    """An operator sees failed attempts at endpoints that are well."""
    for kind, text in (
        ("draining", "began to leave"),
        ("backing-off", "wanted no calls"),
        ("rate-limited", "had reached its rate limit"),
        ("cold", "might be cold"),
        ("evacuated", "or a helper was in a zone that had been evacuated"),
    ):
        line = LogLine("entry-1", "", "MF2020", "", {"endpoint": "i-1", "kind": kind})
        assert attempt_text(line).startswith(f"i-1 {text}")


def test_lines_about_cold_endpoints_surround_the_calls_that_used_them() -> None:
    """Such a line names several endpoints; of another endpoint it says nothing."""
    named = {"count": 2, "endpoints": "i-1,i-2"}
    for event in ("MF2801", "MF2802"):
        line = LogLine("entry-1", "", event, "", named)
        assert surrounds(line, {"i-2"})
        assert not surrounds(line, {"i-3"})


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
    assert run_command("explain", "--zone", "zone-z", path).code == 1
    assert run_command("explain", "--zone", "z", "--endpoint", "e", path).code == 2
    missing = run_command("explain", "0000", "/nowhere/a.log")
    assert missing.code == 3
    assert "/nowhere/a.log" in missing.err


def evacuation_line(event: str, instance: str, second: int, version: int) -> LogLine:
    """Return the line of an instance that was told of an evacuation."""
    return LogLine(
        time=f"2026-12-04T05:00:{second:02}.000Z",
        instance=instance,
        event=event,
        message="",
        fields={"zone": "zone-a", "era": 1, "version": version},
    )


def test_evacuations_of_a_zone_are_told() -> None:
    """An operator asks since when a zone gets no calls, and whether all know it."""
    lines = [
        evacuation_line(events.EVACUATION_STARTED, "entry-1", 1, 9),
        evacuation_line(events.EVACUATION_STARTED, "entry-2", 3, 9),
        evacuation_line(events.EVACUATION_ENDED, "entry-1", 20, 12),
    ]
    story = ZoneStory("zone-a").tell(lines)
    assert len(story.lines) == 3
    assert (
        "evacuated from 2026-12-04T05:00:01.000Z on 2 instances within 2000 ms"
        in story.cause
    )
    assert "no longer evacuated from 2026-12-04T05:00:20.000Z on 1 inst" in story.cause


load_tests = function_tests(__name__)
