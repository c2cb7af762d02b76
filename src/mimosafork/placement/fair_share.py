"""Fair shares of accounts in the work of a group, and the engine time of a call."""

from ..routing.engine import EngineFigures

UNPENALIZED_SHARES = 2.0
"""Fair shares that an account may use without a penalty. Penalizing small excesses
would add to the tail latency of short requests of every slightly busier account."""

UNPENALIZED_PER_OTHER_ACCOUNT = 0.25

PLAIN_CALL_MS = 1.0
"""Work of a call to a plain service. No figures tell how long one takes, so that all
calls of the service count alike."""


def unpenalized_work(total: float, accounts: int, part: float) -> float:
    """Return the work that an account may use without a penalty.

    Parameters
    ----------
    total : float
        Work of all accounts, in any unit.
    accounts : int
        Number of accounts that use or want a part of it.
    part : float
        The account's part by its weight, of 1.
    """
    # With only two or three accounts, two fair shares are nearly all work.
    free = min(UNPENALIZED_SHARES, 1 + UNPENALIZED_PER_OTHER_ACCOUNT * (accounts - 1))
    return free * total * part


def engine_time_ms(
    prompt_tokens: int, answer_tokens: int, figures: EngineFigures | None
) -> float:
    """Return the predicted engine time of a call: its prefill and its answer.

    A decoding step is shared by the requests in all slots.
    """
    if figures is None:
        return PLAIN_CALL_MS
    step_ms = figures.step_ms / max(1, figures.slots) + figures.per_sequence_ms
    prefill_ms = figures.prefill_ms(prompt_tokens, prompt_tokens)
    return prefill_ms + answer_tokens * step_ms
