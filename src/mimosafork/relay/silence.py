"""When either side of an exchange has been silent for too long."""

from .limits import RelayLimits
from .upstream import EngineUpstream, Upstream


def is_stalled(
    upstream: Upstream, begun: bool, limits: RelayLimits, now_s: float
) -> bool:
    """Return whether an engine is silent where it would speak if it were well.

    Between its headers and its first token lies the prefill, which may take
    minutes: there only the deadline ends the wait, as it does for plain services.

    Parameters
    ----------
    begun : bool
        The attempt's first token has come.
    """
    if not isinstance(upstream, EngineUpstream):
        return False
    silence_s = now_s - upstream.last_byte_s
    if upstream.reader.status is None:
        return silence_s > limits.head_timeout.total_seconds()
    return begun and silence_s > limits.stall_timeout.total_seconds()
