"""Tests that the fast search for a plan decides like the plain one."""

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.ids import AvailabilityZoneId, EndpointId, InstanceId, RequestId
from mimosafork.placement.choice import EngineView, PlacementRequest
from mimosafork.placement.load_tracker import (
    HeldTokens,
    InFlightRequest,
    LoadTracker,
    PrefillPart,
)
from mimosafork.placement.memory import USABLE_MEMORY_SHARE
from mimosafork.placement.plain import preferred
from mimosafork.placement.plan import GANG_SIZES, best_plan
from mimosafork.placement.policy import engine_states
from mimosafork.routing.engine import EngineFigures

from ...support.functions import function_tests
from ...support.plain_search import plain_load, plain_plan

case = TestCase()

CASES = 600
"""Number of random fleets; each has its own seed."""

CHANGES = 4
"""Changes of the load between placements, for each fleet."""

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
)
PROMPTS = (1, 700, 5_000, 30_000, 45_000, 100_000, 182_000, 392_000, 500_000, 900_000)
PAUSES = (None, 60, 120, 250, 600, 1_000, 4_000)
PEER = InstanceId("peer")


def ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)


@dataclass
class Fleet:
    """A random fleet with its in-flight requests."""

    draw: Random
    views: list[EngineView]
    tracker: LoadTracker
    now: timedelta
    started: int = 0

    def placement_request(self) -> PlacementRequest:
        """Draw a request to place."""
        draw = self.draw
        pause = draw.choice(PAUSES)
        names = [view.endpoint for view in self.views]
        avoid = draw.sample(names, draw.choice((0, 0, 1, len(names) // 2)))
        prompt = int(draw.choice(PROMPTS) * draw.uniform(1.0, 1.5))
        answer = draw.randrange(1, 3_000)
        if draw.random() < 0.1:
            # Exactly as much as one engine has free, to the last token.
            load = self.tracker.load(draw.choice(names), self.now)
            room = (
                int(FIGURES.memory_tokens * USABLE_MEMORY_SHARE) - load.committed_tokens
            )
            answer = max(answer, room - prompt)
        return PlacementRequest(
            request=RequestId("asked"),
            prompt_tokens=prompt,
            max_answer_tokens=3_000,
            answer_tokens=answer,
            time_left=timedelta(seconds=10),
            objective=ms(draw.choice((0, 5, 300, 1_500, 4_000))),
            longest_pause=None if pause is None else ms(pause),
            avoid=frozenset(avoid),
        )

    def in_flight_request(self) -> InFlightRequest:
        """Draw a running request."""
        draw = self.draw
        self.started += 1
        gang = draw.sample(self.views, min(len(self.views), draw.choice((1, 1, 1, 4))))
        tokens = draw.choice(PROMPTS) // len(gang)
        prefill_ms = FIGURES.prefill_ms(tokens, tokens * len(gang))
        started = self.now - ms(draw.uniform(0.0, 900.0))
        pause = draw.choice(PAUSES)
        held = [HeldTokens(view.endpoint, tokens) for view in gang]
        return InFlightRequest(
            request=RequestId(f"r{self.started}"),
            host=gang[0].endpoint,
            parts=tuple(
                PrefillPart(view.endpoint, tokens, prefill_ms) for view in gang
            ),
            held=tuple(held) if draw.random() < 0.2 else (),
            prompt_tokens=tokens * len(gang),
            answer_tokens=draw.randrange(1, 3_000),
            longest_pause=None if pause is None else ms(pause),
            started_at=started,
            first_token_at=self.now if draw.random() < 0.6 else None,
        )

    def change(self) -> None:
        """Start a request, record its first token, end it, or apply a peer's report."""
        draw, tracker = self.draw, self.tracker
        self.now += ms(draw.uniform(0.0, 300.0))
        own = list(tracker.own)
        kind = draw.randrange(5)
        if kind == 0 or not own:
            tracker.record(self.in_flight_request())
        elif kind == 1:
            tracker.record_first_token(draw.choice(own), self.now)
        elif kind == 2:
            tracker.remove(draw.choice(own))
        elif kind == 3:
            reported = list(tracker.peers.get(PEER, {}).values())
            kept = draw.sample(reported, draw.randrange(len(reported) + 1))
            requests = (
                *kept,
                *(self.in_flight_request() for _ in range(draw.randrange(4))),
            )
            tracker.replace_peer(PEER, requests, self.now)
        else:
            tracker.remove_peer(PEER)


def drawn_views(draw: Random) -> list[EngineView]:
    """Return up to 24 engines of a random kind of fleet."""
    trouble = draw.choice((0.0, 0.0, 0.2, 0.6))
    views = [
        EngineView(
            EndpointId(f"i-{draw.getrandbits(40):010x}"),
            f"10.0.0.{n}:80",
            AvailabilityZoneId(f"z{n % 3}"),
            slots=draw.choice((1, 4, 8)),
            usable=draw.random() > trouble / 4,
            suspect=draw.random() < trouble,
            slowdown=1.0 + draw.random() * trouble,
            cold=draw.random() < trouble / 4,
        )
        for n in range(draw.choice((1, 2, 3, 7, 16, 24)))
    ]
    # The search needs at least one usable engine.
    views[0] = replace(views[0], usable=True)
    return views


def drawn_fleet(seed: int) -> Fleet:
    """Return a fleet whose engines are idle, lightly loaded or overloaded."""
    draw = Random(seed)
    views = drawn_views(draw)
    fleet = Fleet(draw, views, LoadTracker(), timedelta(seconds=100))
    for _ in range(int(len(views) * draw.choice((0, 0.5, 1, 3, 6)))):
        fleet.tracker.record(fleet.in_flight_request())
    return fleet


def compare(fleet: Fleet, figures: EngineFigures = FIGURES) -> int:
    """Check one placement; return its number of engines, 0 without a plan."""
    placement_request = fleet.placement_request()
    seed = fleet.draw.getrandbits(32)
    fast_random, plain_random = Random(seed), Random(seed)
    plain = plain_plan(
        placement_request, fleet.views, fleet.tracker, figures, fleet.now, plain_random
    )
    usable = preferred(placement_request, fleet.views)
    states = engine_states(usable, fleet.tracker, figures, fleet.now)
    fast = best_plan(placement_request, states, figures, fast_random)
    case.assertEqual(plain_random.getstate(), fast_random.getstate())
    if plain is None or fast is None:
        case.assertIs(plain, fast)
        return 0
    case.assertEqual(plain.host, fast.host.view.endpoint)
    helpers = tuple(state.view.endpoint for state in fast.helpers)
    case.assertEqual(plain.helpers, helpers)
    case.assertAlmostEqual(plain.done_ms, fast.done_ms, delta=1e-9)
    case.assertAlmostEqual(plain.cost, fast.cost, delta=1e-9)
    return 1 + len(helpers)


def test_the_fast_search_decides_like_the_plain_one() -> None:
    """Guards against a fast search that misses the best plan.

    It skips what can't be the cheapest. With a bound that is too tight it would skip
    the best plan, and the fleet would serve less than it could, or one engine would get
    all requests; no call and no log line would show it.
    """
    sizes: Counter[int] = Counter()
    for seed in range(CASES):
        fleet = drawn_fleet(seed)
        for _ in range(CHANGES):
            with case.subTest(seed=seed):
                sizes[compare(fleet)] += 1
            fleet.change()
    case.assertGreater(min(sizes[0], sizes[1]), CASES // 4)
    case.assertGreater(sum(sizes.values()) - sizes[0] - sizes[1], CASES // 4)
    case.assertTrue(set(GANG_SIZES) <= set(sizes))


def test_both_searches_agree_on_other_engine_figures() -> None:
    """Bounds that hold for one kind of engine may fail for a slow or a small one."""
    slow = replace(FIGURES, prefill_tokens_per_ms=9.0, step_ms=12.0, stride=1)
    small = replace(FIGURES, memory_tokens=150_000, per_sequence_ms=0.2)
    for seed in range(CASES // 5):
        for figures in (slow, small):
            with case.subTest(seed=seed):
                compare(drawn_fleet(seed), figures)


def test_the_load_of_each_engine_is_the_sum_of_its_requests() -> None:
    """Guards against an engine that seems busy for good, or idle while it is full.

    Cached load summaries must follow each change of the requests and the passing of
    time.
    """
    for seed in range(CASES // 5):
        fleet = drawn_fleet(seed)
        for _ in range(3 * CHANGES):
            fleet.change()
            for view in fleet.views:
                requests = fleet.tracker.by_engine.get(view.endpoint, {})
                plain = plain_load(view.endpoint, requests.values(), fleet.now)
                kept = fleet.tracker.load(view.endpoint, fleet.now)
                case.assertEqual(plain, kept)


load_tests = function_tests(__name__)
