"""Figures of a service's engines, as the deployment states them."""

from datetime import timedelta

import msgspec

DEFAULT_ANSWER_TOKENS = 600
"""Tokens of a usual answer where the deployment states none."""


class EngineFigures(msgspec.Struct, frozen=True):
    """How an engine reads and writes, in passes over all its requests.

    A pass with writers runs `stride` steps; in each, up to `chunk` prompt tokens are
    read beside them.

    Attributes
    ----------
    slots : int
        Requests that run at once.
    memory_tokens : int
        Tokens that fit into one engine.
    stride : int
        Steps of a pass that has writers.
    step_ms, per_sequence_ms : float
        A step costs the first, and the second for each request that writes.
    context_ms_per_k : float
        And this for each thousand tokens of context of each of those requests.
    read_tokens_per_ms : float
        Prompt tokens read in a millisecond.
    pairs_ms_per_m : float
        Cost of a million pairs of a token and any earlier one.
    chunk : int
        Most prompt tokens read in one step.
    hop_ms : float
        Added to each step of a writer whose prompt lies on several engines.
    report_lag : timedelta
        Age of what an engine reports of itself.
    usual_prompt, usual_answer : int
        Mean lengths in tokens.
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
        """Tokens of an answer of which the caller says nothing."""
        return self.mean_answer_tokens or DEFAULT_ANSWER_TOKENS

    def prefill_ms(self, tokens: int, prompt_tokens: int) -> float:
        """Return how long an engine reads its even part of a prompt.

        Parameters
        ----------
        tokens : int
            Length of the part.
        prompt_tokens : int
            Length of the whole prompt; each part has its share of the whole's pairs.
        """
        if tokens <= 0 or prompt_tokens <= 0:
            return 0.0
        pairs_m = prompt_tokens * prompt_tokens / 2.0 / 1e6
        share = tokens / prompt_tokens
        return (
            tokens / self.prefill_tokens_per_ms
            + share * pairs_m * self.attention_ms_per_m_pairs
        )
