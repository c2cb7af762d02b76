"""Deployments as their sheets state them, with their alternating floods."""

from dataclasses import dataclass, replace

from msgspec import structs

from mimosafork.routing.engine import EngineFigures

FIGURES = EngineFigures(
    slots=8,
    memory_tokens=405_000,
    stride=34,
    step_ms=1.31,
    per_sequence_ms=0.001834,
    context_ms_per_k=0.00213,
    prefill_tokens_per_ms=154.0,
    attention_ms_per_m_pairs=0.162,
    prefill_chunk_tokens=2_048,
    hop_ms=0.1,
    mean_prompt_tokens=11_323,
    mean_answer_tokens=1_266,
)


@dataclass(frozen=True, slots=True)
class CallClass:
    """One kind of streamed call.

    Attributes
    ----------
    per_s : float
        Calls a second without floods.
    prompt_mean, prompt_spread, prompt_most : float
        Tokens: mean, sigma of the logarithm, and the largest.
    events_mean, events_spread, events_most : float
        Events of an answer, each of one pass.
    objective_ms, pause_ms, limit_ms : float
        First event and pauses of an answer that is on time; the caller's limit.
    worth, late_worth : float
        Of a call of mean size.
    short_flood, long_flood : float
        Factors of the rate in the two kinds of flood.
    """

    name: str
    per_s: float
    prompt_mean: float
    prompt_spread: float
    prompt_most: float
    events_mean: float
    events_spread: float
    events_most: float
    objective_ms: float
    pause_ms: float
    limit_ms: float
    worth: float
    late_worth: float
    short_flood: float
    long_flood: float

    @property
    def abandon_ms(self) -> float:
        """Pause after which a caller gives up."""
        return max(2_000.0, 4 * self.objective_ms, 8 * self.pause_ms)


@dataclass(frozen=True, slots=True)
class Deployment:
    """What is played.

    Attributes
    ----------
    entries : int
        Entry instances; calls come to them unevenly.
    hop_s : float
        One way between an entry instance and an engine, over all pairs of zones.
    flood_s, gap_s : float
        Length of a flood, and the usual traffic between two.
    event_tokens : int
        Tokens that one event of an answer holds.
    """

    name: str
    entries: int
    engines: int
    classes: tuple[CallClass, ...]
    zones: int = 3
    figures: EngineFigures = FIGURES
    hop_s: float = 0.001
    flood_s: float = 9.5
    gap_s: float = 0.7
    event_tokens: int = 34

    def loaded(self, factor: float) -> "Deployment":
        """Return the same with so many times as many calls."""
        classes = tuple(
            replace(kind, per_s=kind.per_s * factor) for kind in self.classes
        )
        return replace(self, classes=classes)


SHORT = CallClass(
    name="short",
    per_s=14.0,
    prompt_mean=5_000.0,
    prompt_spread=0.9,
    prompt_most=24_000.0,
    events_mean=38.0,
    events_spread=0.7,
    events_most=96.0,
    objective_ms=300.0,
    pause_ms=250.0,
    limit_ms=10_000.0,
    worth=1.3,
    late_worth=0.33,
    short_flood=2.5,
    long_flood=0.37,
)
MIDDLE = CallClass(
    name="middle",
    per_s=0.787,
    prompt_mean=45_000.0,
    prompt_spread=0.5,
    prompt_most=110_000.0,
    events_mean=23.0,
    events_spread=0.6,
    events_most=58.0,
    objective_ms=1_500.0,
    pause_ms=600.0,
    limit_ms=10_000.0,
    worth=3.9,
    late_worth=0.97,
    short_flood=0.5,
    long_flood=1.3,
)
LONG = CallClass(
    name="long",
    per_s=0.365,
    prompt_mean=182_000.0,
    prompt_spread=0.55,
    prompt_most=900_000.0,
    events_mean=19.0,
    events_spread=0.5,
    events_most=48.0,
    objective_ms=4_000.0,
    pause_ms=1_000.0,
    limit_ms=15_000.0,
    worth=24.0,
    late_worth=6.1,
    short_flood=0.05,
    long_flood=2.8,
)

VOCES = Deployment("voces", 7, 14, (SHORT, MIDDLE, LONG))
DALA = Deployment(
    "dala",
    9,
    16,
    (
        replace(SHORT, per_s=16.0),
        replace(MIDDLE, per_s=0.895),
        replace(LONG, per_s=0.415, objective_ms=3_000.0),
    ),
    hop_s=0.0004,
)
GROWN = Deployment(
    "grown",
    64,
    45,
    (
        replace(
            SHORT,
            per_s=35.6,
            events_mean=36.0,
            objective_ms=321.0,
            limit_ms=10_704.0,
            late_worth=0.34,
        ),
        replace(
            MIDDLE,
            per_s=2.5,
            events_mean=21.0,
            objective_ms=1_533.0,
            limit_ms=10_219.0,
            worth=3.3,
            late_worth=0.82,
        ),
        replace(
            LONG,
            per_s=0.81,
            prompt_mean=260_000.0,
            events_mean=18.0,
            objective_ms=4_057.0,
            limit_ms=15_213.0,
            worth=34.0,
            late_worth=8.6,
        ),
    ),
    figures=structs.replace(FIGURES, slots=6, memory_tokens=344_250, stride=38),
)
"""Tens of instances; its runs take minutes, so it is played when it is named."""
SHIFTED = Deployment(
    "shifted",
    61,
    54,
    (
        replace(
            SHORT,
            per_s=34.6,
            events_mean=33.0,
            events_most=82.0,
            objective_ms=321.0,
            pause_ms=200.0,
            limit_ms=10_684.0,
            worth=1.4,
            late_worth=0.34,
            long_flood=0.35,
        ),
        replace(
            MIDDLE,
            per_s=5.5,
            events_mean=19.8,
            events_most=49.0,
            objective_ms=1_532.0,
            pause_ms=500.0,
            limit_ms=10_215.0,
            worth=2.6,
            late_worth=0.66,
        ),
        replace(
            LONG,
            per_s=0.935,
            prompt_mean=300_000.0,
            prompt_most=1_000_000.0,
            events_mean=16.5,
            events_most=41.0,
            objective_ms=4_055.0,
            pause_ms=800.0,
            limit_ms=15_207.0,
            worth=30.0,
            late_worth=7.5,
        ),
    ),
    figures=EngineFigures(
        slots=6,
        memory_tokens=382_500,
        stride=52,
        step_ms=0.925,
        per_sequence_ms=0.00483,
        context_ms_per_k=0.00254,
        prefill_tokens_per_ms=256.0,
        attention_ms_per_m_pairs=0.0917,
        prefill_chunk_tokens=2_048,
        hop_ms=0.1,
        mean_prompt_tokens=14_000,
        mean_answer_tokens=1_600,
    ),
    event_tokens=52,
)
"""More prompts of middle length and longer ones, faster engines, shorter gaps."""
DEPLOYMENTS = (VOCES, DALA)
ALL_DEPLOYMENTS = (*DEPLOYMENTS, GROWN, SHIFTED)
