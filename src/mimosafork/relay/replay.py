"""Delivering a kept answer to a caller that sent its request again."""

from functools import singledispatch

from ..claims.answers import KeptAnswer, KeptResponse, KeptTokens
from .answers import Answer, ServiceResponse
from .events import StreamEvent, UsageMember


@singledispatch
def replay(kept: KeptAnswer, answer: Answer, offset: int) -> bytes | None:
    """Put a kept answer into a caller's; return what goes out for it now.

    Parameters
    ----------
    offset : int
        First token that the caller lacks.

    Returns
    -------
    bytes or None
        None if the offset is not one at which an event of the answer ended: the
        text can't be cut there.
    """
    raise NotImplementedError(type(kept).__name__)


@replay.register
def _(kept: KeptTokens, answer: Answer, offset: int) -> bytes | None:
    events = []
    at = 0
    for text, tokens in zip(kept.texts, kept.tokens, strict=True):
        if at >= offset:
            events.append(StreamEvent("", 0, at, tokens, text))
        elif at + tokens > offset:
            return None
        at += tokens
    if offset > at:
        return None
    data = b"".join([answer.token(event, 0) for event in events])
    answer.finish(kept.finish, UsageMember(prompt_tokens=kept.prompt_tokens))
    return data


@replay.register
def _(kept: KeptResponse, answer: Answer, offset: int) -> bytes | None:
    answer.respond(ServiceResponse(kept.status, kept.headers, kept.body))
    return b""
