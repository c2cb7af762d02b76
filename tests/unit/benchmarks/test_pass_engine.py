"""The model engine follows the published steps, as played days showed them."""

from dataclasses import dataclass, field

from msgspec.structs import replace

from benchmarks.passes.deployments import FIGURES
from benchmarks.passes.engine import STALL_S, Job, PassEngine
from benchmarks.virtual_time import EventLoop
from tests.support.functions import function_tests

READ_MS = 1_000.0
PART = 154_000
"""Tokens that are read in about `READ_MS`, with the steps that it takes."""
NO_PAIRS = replace(FIGURES, attention_ms_per_m_pairs=0.0)
END_S = 60.0


@dataclass
class Listener:
    """Notes the instants of a job's events, in milliseconds."""

    loop: EventLoop
    first_ms: float | None = None
    events_ms: list[float] = field(default_factory=list)
    ended: bool = False
    lost_ms: float | None = None

    def first_token(self) -> None:
        self.first_ms = self.loop.now_s * 1e3

    def event(self) -> None:
        self.events_ms.append(self.loop.now_s * 1e3)

    def end(self) -> None:
        self.ended = True

    def lost(self) -> None:
        self.lost_ms = self.loop.now_s * 1e3


def engine_in(loop: EventLoop) -> PassEngine:
    return PassEngine(loop, NO_PAIRS)


def job_of(
    loop: EventLoop, tokens: int, *helpers: PassEngine, events: int = 3
) -> tuple[Job, Listener]:
    listener = Listener(loop)
    return Job(tokens, events * FIGURES.stride, listener, helpers), listener


def hand(engine: PassEngine, job: Job) -> None:
    assert engine.submit(job)


def test_first_event_comes_with_the_pass_that_ends_the_reading() -> None:
    # The model gave it one pass later, 45 ms on an idle engine. On played days a
    # prompt of 1,211 tokens (8 ms of reading) had its first event after 10 ms.
    loop = EventLoop()
    engine = engine_in(loop)
    job, heard = job_of(loop, 1_211)
    assert engine.submit(job)
    loop.run(END_S)
    assert heard.first_ms is not None
    assert heard.first_ms < 1_211 / FIGURES.prefill_tokens_per_ms + 2 * FIGURES.step_ms
    assert heard.events_ms[0] == heard.first_ms
    assert heard.ended
    assert len(heard.events_ms) == 3


def test_later_part_for_another_host_goes_ahead_of_an_earlier_one() -> None:
    # The model read such parts in turn. On a played day a prompt of 101,079 tokens
    # came 257 ms late, as long as a later one that shared its engines read there;
    # the later one had its first event as if it were alone.
    loop = EventLoop()
    helper, host, later_host = (engine_in(loop) for _ in range(3))
    early, early_heard = job_of(loop, 2 * PART, helper)
    later, later_heard = job_of(loop, 2 * PART, helper)
    assert host.submit(early)
    loop.at(READ_MS / 2e3, hand, later_host, later)
    loop.run(END_S)
    assert early_heard.first_ms is not None
    assert later_heard.first_ms is not None
    assert later_heard.first_ms < early_heard.first_ms
    assert early_heard.first_ms > 1.9 * READ_MS


def test_part_for_another_host_goes_ahead_of_own_reads() -> None:
    loop = EventLoop()
    helper, host = engine_in(loop), engine_in(loop)
    own, own_heard = job_of(loop, PART)
    foreign, foreign_heard = job_of(loop, 2 * PART, helper)
    assert helper.submit(own)
    loop.at(READ_MS / 2e3, hand, host, foreign)
    loop.run(END_S)
    assert own_heard.first_ms is not None
    assert foreign_heard.first_ms is not None
    assert foreign_heard.first_ms < own_heard.first_ms


def test_part_goes_ahead_at_its_own_host_too() -> None:
    # The model had the host's own part wait behind parts that it read for others. On
    # a played day a prompt of 364,134 tokens had its first event after 1.4 s, not
    # after the 2.2 s that it took to read an earlier one's part at its host first.
    loop = EventLoop()
    host, early_host, helper = (engine_in(loop) for _ in range(3))
    early, early_heard = job_of(loop, 2 * PART, host)
    later, later_heard = job_of(loop, 2 * PART, helper)
    assert early_host.submit(early)
    loop.at(READ_MS / 4e3, hand, host, later)
    loop.run(END_S)
    assert early_heard.first_ms is not None
    assert later_heard.first_ms is not None
    assert later_heard.first_ms < 1.4 * READ_MS
    assert early_heard.first_ms > 1.9 * READ_MS


def test_helper_of_as_many_as_it_has_slots_turns_the_next_away() -> None:
    loop = EventLoop()
    helper = engine_in(loop)
    hosts = [engine_in(loop) for _ in range(FIGURES.slots + 1)]
    taken = [host.submit(job_of(loop, 2 * PART, helper)[0]) for host in hosts]
    assert taken == [True] * FIGURES.slots + [False]


def test_engines_that_help_each_other_run_one_pass_at_a_time() -> None:
    # A job that was admitted woke its helper, which admitted a job that woke the
    # first engine again before it had marked its pass as begun: two passes ran at
    # once, and a job's end was written twice.
    loop = EventLoop()
    one, other = engine_in(loop), engine_in(loop)
    jobs = [
        (one, *job_of(loop, 3_000, other)),
        (other, *job_of(loop, 3_000, one)),
    ]
    for engine, job, _ in jobs:
        engine.queue.append(job)
    one.wake()
    loop.run(END_S)
    assert [len(heard.events_ms) for *_, heard in jobs] == [3, 3]
    assert one.busy_ms < 2 * END_S * 1e3


def test_crash_loses_own_jobs_at_once_and_those_of_other_hosts_later() -> None:
    loop = EventLoop()
    helper, host = engine_in(loop), engine_in(loop)
    own, own_heard = job_of(loop, PART)
    foreign, foreign_heard = job_of(loop, 2 * PART, helper)
    assert helper.submit(own)
    assert host.submit(foreign)
    loop.at(READ_MS / 2e3, helper.crash)
    loop.run(END_S)
    assert own_heard.lost_ms == READ_MS / 2
    assert foreign_heard.lost_ms == READ_MS / 2 + STALL_S * 1e3
    assert not helper.submit(job_of(loop, 1_000)[0])
    helper.recover()
    again, again_heard = job_of(loop, 1_000)
    assert helper.submit(again)
    loop.run(2 * END_S)
    assert again_heard.ended


def test_slow_engine_takes_so_many_times_as_long() -> None:
    firsts = []
    for pace in (1.0, 5.0):
        loop = EventLoop()
        engine = engine_in(loop)
        engine.turn(pace)
        job, heard = job_of(loop, PART)
        assert engine.submit(job)
        loop.run(END_S)
        assert heard.first_ms is not None
        firsts.append(heard.first_ms)
    assert abs(firsts[1] - 5.0 * firsts[0]) < 1.0


load_tests = function_tests(__name__)
