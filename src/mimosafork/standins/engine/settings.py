"""Settings of an engine stand-in."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

DEFAULT_TOKEN_INTERVAL = timedelta(milliseconds=67)


class FencingMode(Enum):
    """What the engine does with an order's fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model and the version of it."""

    model: str
    version: str = "1"


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """How an engine behaves.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint.
    models : tuple of ModelSpec
        Models that are ready from the start.
    role : str
        `mixed`; `prefill` takes only streams that export their KV, `decode`
        only streams with imported KV; other names are kept and mean `mixed`.
    kv_capacity : int
        KV memory in tokens.
    prefill_tokens_per_s : float
        Prefill speed of the whole engine.
    token_interval : timedelta
        Time between two tokens of a stream.
    batch_slots : int
        Most streams that run at once.
    max_waiting : int
        Most streams that wait; more are refused as `busy`.
    preempt_prefill : bool
        Whether a stream of lower priority number interrupts a running prefill.
    answer_tokens : int or None
        Length of each answer if `max_tokens` does not cut it; None: endless.
    import_share : int
        An import takes one token of memory for this many imported.
    report_lag, report_interval : timedelta
        Age of load reports, and time between two of them.
    cache_event_lag : timedelta
        Time until a cache event can be read.
    cache_event_gap_every : int
        Every so many cache events one is never published; 0: none is lost.
    retention : timedelta
        How long a stream stays attachable after its end.
    fencing : FencingMode
        What the engine does with an order's fencing number.
    load_time : timedelta
        How long a model or adapter takes to load.
    """

    endpoint: str = "engine-1"
    models: tuple[ModelSpec, ...] = (ModelSpec("demo"),)
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
    kv_capacity: int = 400_000
    prefill_tokens_per_s: float = 30_000.0
    token_interval: timedelta = DEFAULT_TOKEN_INTERVAL
    batch_slots: int = 64
    max_waiting: int = 1024
    preempt_prefill: bool = False
    answer_tokens: int | None = None
    import_share: int = 16
    report_lag: timedelta = timedelta(milliseconds=400)
    report_interval: timedelta = timedelta(milliseconds=100)
    cache_event_lag: timedelta = timedelta(seconds=1)
    cache_event_gap_every: int = 0
    retention: timedelta = timedelta(seconds=30)
    fencing: FencingMode = FencingMode.CHECKED
    load_time: timedelta = timedelta(seconds=2)
