"""The engine's answer, which its prompt alone decides.

Token k of the answer to a prompt is eight hexadecimal digits and a space, taken
from a hash of the prompt's digest and k. A test that knows the prompt can so
check every token, wherever the stream was broken and attached again.
"""

from hashlib import blake2b

DIGEST_BYTES = 32
TOKEN_BYTES = 4
TOKEN_INDEX_BYTES = 8
PROMPT_BYTES_PER_TOKEN = 4
MARK_BYTES = 8
FIRST_MARK_TOKENS = 1024


def prompt_digest(prompt: str) -> bytes:
    """Return the digest that decides the answer to a prompt."""
    return blake2b(prompt.encode(), digest_size=DIGEST_BYTES).digest()


def token_text(digest: bytes, index: int) -> str:
    """Return one token of the answer to the prompt with this digest."""
    seed = digest + index.to_bytes(TOKEN_INDEX_BYTES, "big")
    return blake2b(seed, digest_size=TOKEN_BYTES).hexdigest() + " "


def answer_text(digest: bytes, first: int, tokens: int) -> str:
    """Return some tokens of an answer, from token `first` on."""
    return "".join(token_text(digest, first + k) for k in range(tokens))


def expected_answer(prompt: str, tokens: int, first: int = 0) -> str:
    """Return what an engine answers to a prompt.

    Parameters
    ----------
    prompt : str
        The whole prompt, with the text of imported KV in front.
    tokens : int
        How many tokens to return.
    first : int, default=0
        The first of them.
    """
    return answer_text(prompt_digest(prompt), first, tokens)


def count_tokens(prompt: str) -> int:
    """Return the size of a prompt in tokens, as PLATFORM.md counts it."""
    size = len(prompt.encode())
    return max(1, -(-size // PROMPT_BYTES_PER_TOKEN))


def prefix_marks(prompt: str) -> tuple[str, ...]:
    """Return the prefix marks of a prompt, the shortest prefix first."""
    data = prompt.encode()
    tokens = max(1, -(-len(data) // PROMPT_BYTES_PER_TOKEN))
    marks = []
    length = FIRST_MARK_TOKENS
    while length <= tokens:
        prefix = data[: PROMPT_BYTES_PER_TOKEN * length]
        marks.append(blake2b(prefix, digest_size=MARK_BYTES).hexdigest())
        length *= 2
    return tuple(marks)


def mark_tokens(position: int) -> int:
    """Return the length in tokens of the prefix of mark number `position`."""
    return FIRST_MARK_TOKENS << position
