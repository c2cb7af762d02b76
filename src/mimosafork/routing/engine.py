"""Performance figures of a service's engines, as the deployment states them."""

from datetime import timedelta

import msgspec

DEFAULT_ANSWER_TOKENS = 600
"""Expected length of an answer where the deployment states none."""


class EngineFigures(msgspec.Struct, frozen=True):
    """Performance of an engine, which works in passes over all its requests.

    A pass with decoding requests runs `stride` steps; in each, up to
    `prefill_chunk_tokens` prompt tokens are prefilled beside them.

    Attributes
    ----------
    slots : int
        Requests that run at once.
    memory_tokens : int
        Tokens that fit into one engine.
    stride : int
        Steps of a pass that has decoding requests.
    step_ms, per_sequence_ms : float
        Cost of a step, and its additional cost for each decoding request.
    context_ms_per_k : float
        Additional cost of a step for each thousand context tokens of those requests.
    prefill_tokens_per_ms : float
        Prompt tokens prefilled in a millisecond.
    attention_ms_per_m_pairs : float
        Prefill cost of a million pairs of a token and an earlier one.
    prefill_chunk_tokens : int
        Most prompt tokens prefilled in one step.
    hop_ms : float
        Added to each step of a decoding request whose prompt is on several engines.
    report_lag : timedelta
        Age of an engine's load reports.
    mean_prompt_tokens, mean_answer_tokens : int
        0 if the deployment states none.
    """

    slots: int
    memory_tokens: int
    stride: int
    step_ms: float
    per_sequence_ms: float
    context_ms_per_k: float
    prefill_tokens_per_ms: float
    attention_ms_per_m_pairs: float
    prefill_chunk_tokens: int
    hop_ms: float = 0.0
    report_lag: timedelta = timedelta(milliseconds=200)
    mean_prompt_tokens: int = 0
    mean_answer_tokens: int = 0

    @property
    def expected_answer_tokens(self) -> int:
        """Expected length of an answer for which the caller gives no hint."""
        return self.mean_answer_tokens or DEFAULT_ANSWER_TOKENS

    def prefill_ms(self, tokens: int, prompt_tokens: int) -> float:
        """Return the prefill time of a part of a prompt that is split evenly.

        Parameters
        ----------
        tokens : int
            Length of the part.
        prompt_tokens : int
            Length of the whole prompt; each part has its share of the attention cost.
        """
        if tokens <= 0 or prompt_tokens <= 0:
            return 0.0
        pairs_m = prompt_tokens * prompt_tokens / 2.0 / 1e6
        share = tokens / prompt_tokens
        return (
            tokens / self.prefill_tokens_per_ms
            + share * pairs_m * self.attention_ms_per_m_pairs
        )
