"""Bands of prompt length, by which times are measured."""

from bisect import bisect_left
from typing import Final

LENGTH_BOUNDS: Final = (1_000, 10_000, 100_000)
LENGTH_BANDS: Final = ("up to 1k", "up to 10k", "up to 100k", "over 100k")
"""Bands of prompt length in tokens."""


def length_band(prompt_tokens: int) -> str:
    """Return the band of a prompt's length."""
    return LENGTH_BANDS[bisect_left(LENGTH_BOUNDS, prompt_tokens)]
