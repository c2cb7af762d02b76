"""Bodies of the calls that OpenAI's clients make."""

from typing import Literal

import msgspec

from ..endpoints.calls import ModelCall
from ..ids import AdapterId, ModelId
from ..kernel.messages.problems import ProblemCode
from ..network.decoding import UNDECODABLE
from .errors import RejectedError

DEFAULT_MAX_TOKENS = 256


class StreamOptions(msgspec.Struct):
    """Options of a streamed answer."""

    include_usage: bool = False


class CompletionBody(msgspec.Struct):
    """Body of ``POST /v1/completions``; unknown members are ignored."""

    model: str
    prompt: str
    max_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: int = 1
    adapter: str | None = None


class TextPart(msgspec.Struct):
    """One part of a message's content."""

    type: Literal["text"]
    text: str


class ChatMessage(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: str | list[TextPart]


class ChatBody(msgspec.Struct):
    """Body of ``POST /v1/chat/completions``; unknown members are ignored."""

    model: str
    messages: list[ChatMessage]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: int = 1
    adapter: str | None = None


COMPLETION_DECODER = msgspec.json.Decoder(CompletionBody)
CHAT_DECODER = msgspec.json.Decoder(ChatBody)


def decode_completion(body: bytes) -> CompletionBody:
    """Return a checked body.

    Raises
    ------
    RejectedError
        With the place of the fault.
    """
    try:
        decoded = COMPLETION_DECODER.decode(body)
    except UNDECODABLE as error:
        raise _malformed(error) from error
    _check(decoded)
    return decoded


def decode_chat(body: bytes) -> ChatBody:
    """Return a checked body.

    Raises
    ------
    RejectedError
        With the place of the fault.
    """
    try:
        decoded = CHAT_DECODER.decode(body)
    except UNDECODABLE as error:
        raise _malformed(error) from error
    _check(decoded)
    if not decoded.messages:
        raise RejectedError(ProblemCode.MALFORMED, "messages must not be empty")
    return decoded


def wants_usage(body: CompletionBody | ChatBody) -> bool:
    """Whether the stream is to end with what it has cost."""
    return body.stream_options is not None and body.stream_options.include_usage


def completion_call(
    body: CompletionBody, default_tokens: int = DEFAULT_MAX_TOKENS
) -> ModelCall:
    """Return what is to be run for a completion.

    Parameters
    ----------
    default_tokens : int
        Longest answer if the body names none.
    """
    return ModelCall(
        model=ModelId(body.model),
        adapter=AdapterId(body.adapter) if body.adapter else None,
        prompt=body.prompt,
        max_tokens=body.max_tokens or default_tokens,
    )


def chat_call(body: ChatBody, default_tokens: int = DEFAULT_MAX_TOKENS) -> ModelCall:
    """Return what is to be run for a chat.

    The conversation becomes a prompt with one paragraph a message, each behind
    its role, and the assistant's turn at the end. See `completion_call`.
    """
    limit = body.max_completion_tokens or body.max_tokens
    return ModelCall(
        model=ModelId(body.model),
        adapter=AdapterId(body.adapter) if body.adapter else None,
        prompt=chat_prompt(body.messages),
        max_tokens=limit or default_tokens,
    )


def chat_prompt(messages: list[ChatMessage]) -> str:
    """Return a conversation as one text."""
    turns = [f"{message.role}: {_text_of(message)}\n\n" for message in messages]
    return "".join(turns) + "assistant: "


def _text_of(message: ChatMessage) -> str:
    if isinstance(message.content, str):
        return message.content
    return "".join(part.text for part in message.content)


def _check(body: CompletionBody | ChatBody) -> None:
    if body.n != 1:
        raise RejectedError(ProblemCode.MALFORMED, "n must be 1")
    limits = [body.max_tokens]
    if isinstance(body, ChatBody):
        limits.append(body.max_completion_tokens)
    if any(limit is not None and limit < 1 for limit in limits):
        raise RejectedError(ProblemCode.MALFORMED, "max_tokens must be at least 1")


def _malformed(error: Exception) -> RejectedError:
    return RejectedError(ProblemCode.MALFORMED, f"the body can't be read: {error}")
