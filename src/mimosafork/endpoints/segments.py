"""Slices of a prompt by token positions."""

BYTES_PER_TOKEN = 4
"""A prompt of `n` UTF-8 bytes counts as ``ceil(n / 4)`` tokens."""

CONTINUATION_MASK = 0b1100_0000
CONTINUATION = 0b1000_0000


def prompt_part(prompt: str, first: int, tokens: int | None = None) -> str:
    """Return a slice of a prompt.

    Parameters
    ----------
    first : int
        Index of its first token.
    tokens : int, optional
        Its length; the rest of the prompt if left out.

    Returns
    -------
    str
        Cut before a character where a token boundary falls inside it, so that
        consecutive slices join to the whole prompt.
    """
    if first == 0 and tokens is None:
        return prompt
    data = prompt.encode()
    begin = _boundary(data, first)
    end = len(data) if tokens is None else _boundary(data, first + tokens)
    return data[begin:end].decode()


def _boundary(data: bytes, token: int) -> int:
    """Return the start of the character that contains a token's first byte."""
    position = min(len(data), token * BYTES_PER_TOKEN)
    while (
        0 < position < len(data) and data[position] & CONTINUATION_MASK == CONTINUATION
    ):
        position -= 1
    return position
