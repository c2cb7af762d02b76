"""Calls as the two deployments see them: heavy-tailed, bursty, partly repeated."""

from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from math import exp, log
from random import Random

from mimosafork.ids import Digest
from mimosafork.kernel.messages.requests import PrefixMark

from .deployments import Deployment

SHORTEST = 1_000
LONG = 100_000
LONGEST = 1_000_000
LONGEST_ON_ONE = 390_000
"""Longest prompt that a single engine holds together with its answer."""

LONG_EVERY = 50
"""One prompt in so many is over `LONG`."""

MEDIAN = 3_000
SPREAD = 1.0
TAIL_EXPONENT = 1.5

ANSWER_MEDIAN = 120
ANSWER_SPREAD = 0.6
LONGEST_ANSWER = 600

REPEATED = 0.25
"""Part of the calls that ask again about a document read a while ago."""
DOCUMENTS_KEPT = 40
QUESTION = 300
FIRST_MARK = 1024

SERVICE_SHARE = 0.15
"""Plain service calls for each model call."""

BURST_AT = 0.55
BURST_LENGTH = 0.12
BURST_FACTOR = 1.7


class Band(Enum):
    """Prompt lengths that are reported together."""

    SHORT = "1k-8k"
    MIDDLE = "8k-100k"
    LONG = "100k-400k"
    GANG = "400k-1M"
    SERVICE = "service"


BAND_ENDS = ((8_000, Band.SHORT), (100_000, Band.MIDDLE), (399_000, Band.LONG))


@dataclass(slots=True, eq=False)
class Call:
    """A caller's request and what became of it.

    Attributes
    ----------
    deadline_s : float
        Time that the caller gives, counted from `arrival_s`.
    forced : bool
        Let in whatever admission thinks.
    first_token_s, end_s : float or None
        Instants at the caller.
    """

    number: int
    arrival_s: float
    account: int
    band: Band
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    entry: int
    marks: tuple[PrefixMark, ...] = ()
    forced: bool = False
    first_token_s: float | None = None
    end_s: float | None = None
    outcome: str = ""
    problem: str = ""
    retry_after_s: float | None = None
    prefilled: int = 0
    attempts: int = 0

    @property
    def done_in_time(self) -> bool:
        """Whether the whole answer came within the caller's time."""
        if self.outcome != "completed" or self.end_s is None:
            return False
        return self.end_s - self.arrival_s <= self.deadline_s


@dataclass(slots=True)
class Documents:
    """Documents that an account has read, newest last."""

    known: list[tuple[int, int]] = field(default_factory=list)

    def remember(self, number: int, tokens: int) -> None:
        """Keep a document; the oldest one goes."""
        self.known.append((number, tokens))
        if len(self.known) > DOCUMENTS_KEPT:
            self.known.pop(0)


def band_of(prompt_tokens: int) -> Band:
    """Return the band of a prompt length."""
    for end, band in BAND_ENDS:
        if prompt_tokens < end:
            return band
    return Band.GANG


def deadline_s(prompt_tokens: int) -> float:
    """Return the time that callers give a prompt: they know that long ones last."""
    return 20.0 + prompt_tokens * 0.0006


def alone_s(deployment: Deployment, prompt_tokens: int) -> float:
    """Return the time to first token with the whole fleet idle and caches empty."""
    model = deployment.engine
    largest = model.kv_capacity - LONGEST_ANSWER
    network = 2 * (deployment.client_s + deployment.inside_zone_s)
    total = 0.0
    done = 0
    while done < prompt_tokens:
        segment = min(largest, prompt_tokens - done)
        total += model.prefill_s(done + segment, done)
        done += segment
    return total + network


def work_s(deployment: Deployment, call: Call) -> float:
    """Return the engine time that a call takes, nothing of it cached."""
    model = deployment.engine
    decode = call.max_tokens * model.decode_s
    return model.prefill_s(call.prompt_tokens) + decode


def generate(
    deployment: Deployment,
    load: float,
    duration_s: float,
    seed: int,
    largest_account_load: float = 0.0,
    longest: int = LONGEST,
) -> list[Call]:
    """Return the calls of one run, in order of arrival.

    Parameters
    ----------
    load : float
        Mean engine time asked for, as a part of what the engines have.
    largest_account_load : float
        Load that the largest account sends on top.
    longest : int
        Longest prompt in tokens.
    """
    random = Random(f"{deployment.name}/{seed}")
    drawing = Drawing(deployment, random, longest)
    calls = _model_calls(drawing, load, duration_s, None)
    if largest_account_load > 0:
        calls += _model_calls(drawing, largest_account_load, duration_s, 0)
    calls += _service_calls(deployment, len(calls), duration_s, random)
    calls.sort(key=lambda call: call.arrival_s)
    for number, call in enumerate(calls):
        call.number = number
    return calls


@dataclass(slots=True)
class Drawing:
    """What a run's calls are drawn with."""

    deployment: Deployment
    random: Random
    longest: int
    documents: dict[int, Documents] = field(default_factory=dict)


def _model_calls(
    drawing: Drawing, load: float, duration_s: float, only_account: int | None
) -> list[Call]:
    """Draw calls until their work fills the load."""
    deployment = drawing.deployment
    wanted_s = load * deployment.engines * duration_s
    calls: list[Call] = []
    while wanted_s > 0:
        call = _draw(drawing, len(calls), only_account)
        wanted_s -= work_s(deployment, call)
        calls.append(call)
    # The drawn order is kept, so that documents are asked about again soon.
    arrivals = sorted(_arrival(drawing.random, duration_s) for _ in calls)
    for call, arrival_s in zip(calls, arrivals, strict=True):
        call.arrival_s = arrival_s
    return calls


def _arrival(random: Random, duration_s: float) -> float:
    """Draw an instant; more of them fall where a comment window closes."""
    extra = BURST_LENGTH * (BURST_FACTOR - 1)
    drawn = random.random() * (1 + extra)
    if drawn >= 1:
        inside = (drawn - 1) / extra
        return duration_s * (BURST_AT + BURST_LENGTH * inside)
    return duration_s * drawn


def _draw(drawing: Drawing, number: int, only_account: int | None) -> Call:
    deployment = drawing.deployment
    random = drawing.random
    account = only_account
    if account is None:
        accounts = range(len(deployment.accounts))
        account = random.choices(accounts, deployment.accounts)[0]
    known = drawing.documents.setdefault(account, Documents())
    is_long = random.random() < 1 / LONG_EVERY
    if known.known and random.random() < REPEATED:
        wanted = [each for each in known.known if (each[1] > LONG) == is_long]
    else:
        wanted = []
    if wanted:
        document, tokens = random.choice(wanted)
        prompt_tokens = min(drawing.longest, tokens + QUESTION)
    else:
        document = random.getrandbits(40)
        prompt_tokens = _length(random)
        if is_long:
            prompt_tokens = _long_length(random, drawing.longest)
        tokens = prompt_tokens - QUESTION
        known.remember(document, tokens)
    answer = int(ANSWER_MEDIAN * exp(random.gauss(0, ANSWER_SPREAD)))
    return Call(
        number=number,
        arrival_s=0.0,
        account=account,
        band=band_of(prompt_tokens),
        prompt_tokens=prompt_tokens,
        max_tokens=max(10, min(LONGEST_ANSWER, answer)),
        deadline_s=deadline_s(prompt_tokens),
        entry=random.randrange(deployment.entry_instances),
        marks=_marks(document, tokens),
    )


def _length(random: Random) -> int:
    tokens = int(MEDIAN * exp(random.gauss(0, SPREAD)))
    return max(SHORTEST, min(LONG - 1, tokens))


def _long_length(random: Random, longest: int) -> int:
    """Draw from a Pareto distribution between `LONG` and the longest."""
    low = LONG**-TAIL_EXPONENT
    high = longest**-TAIL_EXPONENT
    drawn = low - random.random() * (low - high)
    return int(exp(-log(drawn) / TAIL_EXPONENT))


def _marks(document: int, tokens: int) -> tuple[PrefixMark, ...]:
    marks = []
    length = FIRST_MARK
    while length <= tokens:
        digest = blake2b(f"{document}/{length}".encode(), digest_size=8).hexdigest()
        marks.append(PrefixMark(Digest(digest), length))
        length *= 2
    return tuple(marks)


def _service_calls(
    deployment: Deployment, model_calls: int, duration_s: float, random: Random
) -> list[Call]:
    """Draw look-ups and filings at the plain services."""
    return [
        Call(
            number=0,
            arrival_s=_arrival(random, duration_s),
            account=random.choices(
                range(len(deployment.accounts)), deployment.accounts
            )[0],
            band=Band.SERVICE,
            prompt_tokens=0,
            max_tokens=0,
            deadline_s=2.0,
            entry=random.randrange(deployment.entry_instances),
        )
        for _ in range(int(model_calls * SERVICE_SHARE))
    ]
