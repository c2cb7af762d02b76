"""How long and how much the relay waits for either side."""

from dataclasses import dataclass
from datetime import timedelta

HIGH_WATER_BYTES = 64 << 10


@dataclass(frozen=True, slots=True)
class RelayLimits:
    """Bounds of one exchange.

    Attributes
    ----------
    head_timeout : timedelta
        Time for an engine to answer with its headers, which it sends before the
        prefill: this tells a frozen engine from a long prompt.
    stall_timeout : timedelta
        Longest silence of an engine after its first token.
    caller_timeout : timedelta
        Longest time that a caller may take nothing while bytes wait for it.
    sweep_interval : timedelta
        How often the times above are looked at.
    keepalive_interval : timedelta
        Longest silence towards the caller of a stream.
    high_water, low_water : int
        Bytes waiting for one caller at which its endpoint is no longer read, and
        is read again.
    """

    head_timeout: timedelta = timedelta(seconds=5)
    stall_timeout: timedelta = timedelta(seconds=10)
    caller_timeout: timedelta = timedelta(seconds=30)
    keepalive_interval: timedelta = timedelta(seconds=15)
    sweep_interval: timedelta = timedelta(milliseconds=250)
    high_water: int = HIGH_WATER_BYTES
    low_water: int = HIGH_WATER_BYTES // 4
