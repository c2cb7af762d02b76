"""Whole answers as they are kept for a resend."""

import msgspec

from ..ids import RequestId
from ..network.decoding import UNDECODABLE
from .errors import BadAnswerError

LARGEST_KEPT_BYTES = 8 << 20
"""Longer answers are not kept, and their callers are told so."""


class KeptTokens(msgspec.Struct, frozen=True, tag="tokens"):
    """A model's answer, event by event, so that any offset can be served.

    Attributes
    ----------
    texts, tokens : tuple
        Text and number of tokens of each event.
    prompt_tokens : int
        As the engine counted them.
    """

    texts: tuple[str, ...]
    tokens: tuple[int, ...]
    finish: str
    prompt_tokens: int = 0


class KeptResponse(msgspec.Struct, frozen=True, tag="response"):
    """A plain service's response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


KeptAnswer = KeptTokens | KeptResponse

ENCODER = msgspec.json.Encoder()
DECODER: msgspec.json.Decoder[KeptAnswer] = msgspec.json.Decoder(KeptAnswer)


class AnswerCaptured(msgspec.Struct, frozen=True):
    """The relay has seen the whole answer of a request that is to be kept.

    Attributes
    ----------
    answer : KeptTokens, KeptResponse or None
        None if it is too long to keep.
    """

    request_id: RequestId
    answer: KeptAnswer | None


def encoded_answer(answer: KeptAnswer) -> bytes:
    """Return an answer's bytes in the store."""
    return ENCODER.encode(answer)


def decoded_answer(content: bytes) -> KeptAnswer:
    """Return the answer of bytes from the store.

    Raises
    ------
    BadAnswerError
        If they are none.
    """
    try:
        return DECODER.decode(content)
    except UNDECODABLE as error:
        raise BadAnswerError(f"a kept answer can't be read: {error}") from error
