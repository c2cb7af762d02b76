"""Tests of the choice of host and helpers."""

from collections.abc import Sequence
from datetime import timedelta
from random import Random
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.ids import AvailabilityZoneId, EndpointId, RequestId
from mimosafork.placement.choice import (
    Assignment,
    EngineView,
    PlacementDecision,
    PlacementRequest,
    RejectRequest,
    Shortage,
    WaitForCapacity,
)
from mimosafork.placement.load_tracker import InFlightRequest, LoadTracker, PrefillPart
from mimosafork.placement.policy import choose, choose_plain
from mimosafork.routing.engine import EngineFigures

from ...support.functions import function_tests

case = TestCase()

NOW = timedelta(seconds=100)
FIGURES = EngineFigures(
    slots=8,
    memory_tokens=405_000,
    stride=34,
    step_ms=1.31,
    per_sequence_ms=0.0018,
    context_ms_per_k=0.00213,
    prefill_tokens_per_ms=154.0,
    attention_ms_per_m_pairs=0.162,
    prefill_chunk_tokens=2_048,
    hop_ms=0.1,
)


def ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)


def views(count: int, slots: int = 8, **more: object) -> list[EngineView]:
    return [
        EngineView(
            EndpointId(f"e{n}"),
            f"10.0.0.{n}:80",
            AvailabilityZoneId(f"z{n % 3}"),
            slots,
            **more,  # type: ignore[arg-type]
        )
        for n in range(count)
    ]


def ask(
    prompt: int, objective: float = 300, pause: float = 250, **more: object
) -> PlacementRequest:
    fields: dict[str, object] = {
        "request": RequestId("r"),
        "prompt_tokens": prompt,
        "max_answer_tokens": 3_000,
        "answer_tokens": 1_200,
        "time_left": timedelta(seconds=10),
        "objective": ms(objective),
        "longest_pause": ms(pause),
    }
    return PlacementRequest(**{**fields, **more})  # type: ignore[arg-type]


def short(**more: object) -> PlacementRequest:
    return ask(5_000, **more)  # type: ignore[arg-type]


def middle() -> PlacementRequest:
    return ask(45_000, 1_500, 600)


def long(prompt: int = 182_000) -> PlacementRequest:
    return ask(prompt, 4_000, 1_000, time_left=timedelta(seconds=15))


def fill(
    book: LoadTracker,
    host: EndpointId,
    count: int = 1,
    pause: float = 250,
    writing: bool = True,
    prompt: int = 5_000,
    read_ms: float = 35.0,
) -> None:
    for _ in range(count):
        book.record(
            InFlightRequest(
                request=RequestId(f"{host}-{len(book.own)}"),
                host=host,
                parts=(PrefillPart(host, prompt, read_ms),),
                prompt_tokens=prompt,
                answer_tokens=1_200,
                longest_pause=ms(pause),
                started_at=NOW,
                first_token_at=NOW if writing else None,
            )
        )


def chosen(
    asked: PlacementRequest,
    engines: Sequence[EngineView],
    book: LoadTracker | None = None,
    figures: EngineFigures | None = FIGURES,
    seed: int = 1,
) -> PlacementDecision:
    return choose(asked, engines, book or LoadTracker(), figures, NOW, Random(seed))


def placed(
    asked: PlacementRequest,
    engines: Sequence[EngineView],
    book: LoadTracker | None = None,
) -> Assignment:
    choice = chosen(asked, engines, book)
    assert isinstance(choice, Assignment), choice
    return choice


def test_short_requests_share_engines_from_the_front() -> None:
    book = LoadTracker()
    hosts = set()
    for n in range(12):
        asked = short(request=RequestId(str(n)))
        place = placed(asked, views(14), book)
        case.assertEqual(place.helpers, ())
        hosts.add(place.host)
        book.record(place.to_in_flight_request(asked, NOW))
        book.record_first_token(asked.request, NOW)
    case.assertLessEqual(len(hosts), 4)


def test_instances_agree_where_the_front_is() -> None:
    hosts = {
        place.host
        for seed in range(20)
        if isinstance(place := chosen(short(), views(14), seed=seed), Assignment)
    }
    case.assertLessEqual(len(hosts), 8)


def test_a_short_request_does_not_wait_behind_a_long_read() -> None:
    """An engine reads a long prompt when a short one comes.

    The short one would wait seconds for its first event there; it goes elsewhere,
    even onto an engine that writes for others.
    """
    book = LoadTracker()
    engines = views(3)
    for view in engines[:2]:
        fill(book, view.endpoint, writing=False, pause=1_000, read_ms=3_000.0)
    fill(book, engines[2].endpoint, 5)
    case.assertEqual(placed(short(), engines, book).host, engines[2].endpoint)


def test_a_long_prompt_goes_across_the_engines_without_short_writers() -> None:
    """Five engines write short answers with pauses of at most 250 ms.

    Parts of a long prompt would stretch their passes past that; the other nine take
    the host and the helpers.
    """
    book = LoadTracker()
    engines = views(14)
    busy = {view.endpoint for view in engines[:5]}
    for endpoint in busy:
        fill(book, endpoint, 6)
    place = placed(long(), engines, book)
    taken = {place.host, *(helper.endpoint for helper in place.helpers)}
    case.assertFalse(taken & busy)
    case.assertGreaterEqual(len(taken), 4)
    case.assertLess(place.predicted_first_token, timedelta(seconds=2))
    case.assertEqual(place.reservations, ())


def test_a_middle_prompt_beside_short_writers_is_split() -> None:
    """All engines write short answers, and a prompt of 456 ms of reading comes.

    On one engine it would make six answers late; in parts it harms none.
    """
    book = LoadTracker()
    engines = views(14)
    for view in engines:
        fill(book, view.endpoint, 5)
    place = placed(middle(), engines, book)
    case.assertGreaterEqual(len(place.helpers), 2)
    case.assertTrue(all(part.prefill_ms < 160 for part in place.parts))


def test_parts_are_even_and_cover_the_prompt() -> None:
    place = placed(long(), views(14))
    total = sum(part.tokens for part in place.parts)
    case.assertEqual(len({part.tokens for part in place.parts}), 1)
    case.assertGreaterEqual(total, 182_000)
    case.assertLess(total, 182_000 + len(place.parts))


def test_a_prompt_larger_than_an_engine_gets_reservations() -> None:
    place = placed(long(900_000), views(16))
    tokens = sum(reservation.tokens for reservation in place.reservations)
    case.assertGreaterEqual(tokens, 901_200)
    case.assertEqual(place.reservations[0].endpoint, place.host)
    gang = {place.host, *(helper.endpoint for helper in place.helpers)}
    case.assertTrue({r.endpoint for r in place.reservations} <= gang)
    case.assertTrue(all(r.tokens <= 405_000 for r in place.reservations))


def test_reservations_are_few_and_fill_no_engine() -> None:
    """Each one costs orders and may be refused; a full engine admits nothing else."""
    place = placed(long(900_000), views(16))
    case.assertEqual(5, len(place.reservations))
    case.assertLess(max(r.tokens for r in place.reservations), 405_000 * 0.5)
    case.assertLessEqual(len(place.helpers), 15)


def test_engines_with_little_room_are_spared() -> None:
    engines = views(6)
    book = LoadTracker()
    for view in engines[:2]:
        fill(book, view.endpoint, prompt=350_000, pause=1_000)
    place = placed(long(700_000), engines, book)
    holders = {reservation.endpoint for reservation in place.reservations}
    case.assertFalse(holders & {view.endpoint for view in engines[:2]})


def test_memory_is_never_promised_twice() -> None:
    """One engine holds a prompt of 300,000 tokens and the next has 182,000.

    Together they exceed its memory, and the newest would be preempted mid-stream.
    """
    book = LoadTracker()
    engines = views(2)
    fill(book, engines[0].endpoint, prompt=300_000, pause=1_000)
    case.assertEqual(placed(long(), engines, book).host, engines[1].endpoint)
    fill(book, engines[1].endpoint, prompt=300_000, pause=1_000)
    case.assertEqual(chosen(long(), engines, book), WaitForCapacity(Shortage.MEMORY))


def test_full_engines_make_a_request_wait() -> None:
    book = LoadTracker()
    engines = views(2, slots=2)
    for view in engines:
        fill(book, view.endpoint, 2)
    case.assertEqual(chosen(short(), engines, book), WaitForCapacity(Shortage.SLOTS))


def test_a_request_without_time_is_refused_only_while_places_are_taken() -> None:
    asked = short(time_left=ms(20))
    case.assertIsInstance(chosen(asked, views(2)), Assignment)
    book = LoadTracker()
    engines = views(2)
    for view in engines:
        fill(book, view.endpoint, 5)
    choice = chosen(asked, engines, book)
    assert isinstance(choice, RejectRequest)
    case.assertIs(choice.reason, Shortage.TIME)
    case.assertGreater(choice.retry_after, timedelta(0))


def test_a_prompt_that_fits_nowhere_is_refused() -> None:
    choice = chosen(long(900_000), views(2))
    assert isinstance(choice, RejectRequest)
    case.assertIs(choice.reason, Shortage.SIZE)


def test_a_single_usable_engine_takes_all() -> None:
    engines = [*views(1), *views(5, usable=False)[1:]]
    for asked in (short(), middle(), long()):
        place = placed(asked, engines)
        case.assertEqual((place.host, place.helpers), (EndpointId("e0"), ()))


def test_without_a_usable_engine_a_request_waits() -> None:
    for engines in ([], views(3, usable=False)):
        choice = chosen(short(), engines)
        case.assertEqual(choice, WaitForCapacity(Shortage.ENDPOINTS))


def test_avoided_and_suspect_engines_are_last() -> None:
    engines = [*views(1), *views(3, suspect=True)[1:]]
    case.assertEqual(placed(short(), engines).host, EndpointId("e0"))
    avoid = frozenset({EndpointId("e0")})
    case.assertNotEqual(placed(short(avoid=avoid), engines).host, EndpointId("e0"))
    case.assertEqual(placed(short(avoid=avoid), views(1)).host, EndpointId("e0"))


def test_a_huge_prompt_is_not_read_again_in_vain() -> None:
    """A whole desk's letters stand still for two seconds and are lost.

    A dossier of 800,000 tokens broke off late and was read again on nine engines, with
    less time left than the reading takes; its answer could not come any more.
    """
    again = ask(800_000, 4_000, 1_000, time_left=ms(4_000), may_have_run=True)
    choice = chosen(again, views(9))
    assert isinstance(choice, RejectRequest)
    case.assertIs(choice.reason, Shortage.TIME)
    in_time = replace(again, time_left=ms(15_000))
    case.assertIsInstance(chosen(in_time, views(9)), Assignment)
    first = replace(again, may_have_run=False)
    case.assertIsInstance(chosen(first, views(9)), Assignment)


def test_slow_engines_get_no_part_that_would_be_late() -> None:
    engines = [*views(8, slowdown=6.0)[:4], *views(8)[4:]]
    place = placed(long(), engines)
    slow = {view.endpoint for view in engines[:4]}
    case.assertFalse({part.endpoint for part in place.parts} & slow)


def test_without_figures_the_least_busy_endpoint_is_taken() -> None:
    book = LoadTracker()
    engines = views(3, slots=6)
    fill(book, engines[0].endpoint, 2)
    fill(book, engines[2].endpoint, 1)
    choice = chosen(short(), engines, book, figures=None)
    case.assertEqual(choice, Assignment(EndpointId("e1"), "10.0.0.1:80"))


def test_on_ties_the_own_zone_goes_first() -> None:
    asked = short(zone=AvailabilityZoneId("z2"))
    for seed in range(5):
        choice = choose_plain(asked, views(3), LoadTracker(), NOW, Random(seed))
        assert isinstance(choice, Assignment)
        case.assertEqual(choice.host, EndpointId("e2"))


load_tests = function_tests(__name__)
