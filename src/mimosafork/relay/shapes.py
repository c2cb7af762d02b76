"""JSON of the completions and chat calls that OpenAI's clients speak."""

from dataclasses import dataclass
from functools import singledispatch
from typing import Any

import msgspec

from ..ids import ModelId, RequestId


@dataclass(frozen=True, slots=True)
class CompletionShape:
    """Answer of ``POST /v1/completions``."""

    request_id: RequestId
    model: ModelId
    created: int


@dataclass(frozen=True, slots=True)
class ChatShape:
    """Answer of ``POST /v1/chat/completions``."""

    request_id: RequestId
    model: ModelId
    created: int


Shape = CompletionShape | ChatShape


class UsageBody(msgspec.Struct):
    """Cost of an answer, in tokens."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@dataclass(frozen=True, slots=True)
class ChunkFrame:
    """What stands around the text of each chunk of one answer.

    A chunk is put together from bytes made once for each answer, as only the text
    differs: encoding the whole object again costs several times as much.
    """

    before: bytes
    after: bytes

    def around(self, text: str) -> bytes:
        """Return one chunk's JSON."""
        return self.before + msgspec.json.encode(text) + self.after


@singledispatch
def chunk_frame(shape: Shape) -> ChunkFrame:
    """Return the frame of an answer's chunks."""
    raise NotImplementedError(type(shape).__name__)


@chunk_frame.register
def _(shape: CompletionShape) -> ChunkFrame:
    head = _head(f"cmpl-{shape.request_id}", "text_completion", shape)
    return ChunkFrame(
        before=head + b'"choices":[{"index":0,"text":',
        after=b',"logprobs":null,"finish_reason":null}]}',
    )


@chunk_frame.register
def _(shape: ChatShape) -> ChunkFrame:
    head = _head(f"chatcmpl-{shape.request_id}", "chat.completion.chunk", shape)
    return ChunkFrame(
        before=head + b'"choices":[{"index":0,"delta":{"content":',
        after=b'},"logprobs":null,"finish_reason":null}]}',
    )


@singledispatch
def opening_chunk(shape: Shape) -> bytes | None:
    """Return what goes before an answer's first text, if anything."""
    raise NotImplementedError(type(shape).__name__)


@opening_chunk.register
def _(shape: CompletionShape) -> None:
    return None


@opening_chunk.register
def _(shape: ChatShape) -> bytes:
    head = _head(f"chatcmpl-{shape.request_id}", "chat.completion.chunk", shape)
    delta = b'{"index":0,"delta":{"role":"assistant","content":""}'
    return head + b'"choices":[' + delta + b',"finish_reason":null}]}'


@singledispatch
def closing_chunk(shape: Shape, finish: str) -> bytes:
    """Return the chunk that tells why the answer ends."""
    raise NotImplementedError(type(shape).__name__)


@closing_chunk.register
def _(shape: CompletionShape, finish: str) -> bytes:
    head = _head(f"cmpl-{shape.request_id}", "text_completion", shape)
    reason = msgspec.json.encode(finish)
    choice = b'{"index":0,"text":"","logprobs":null,"finish_reason":' + reason + b"}"
    return head + b'"choices":[' + choice + b"]}"


@closing_chunk.register
def _(shape: ChatShape, finish: str) -> bytes:
    head = _head(f"chatcmpl-{shape.request_id}", "chat.completion.chunk", shape)
    reason = msgspec.json.encode(finish)
    choice = b'{"index":0,"delta":{},"finish_reason":' + reason + b"}"
    return head + b'"choices":[' + choice + b"]}"


@singledispatch
def usage_chunk(shape: Shape, usage: UsageBody) -> bytes:
    """Return the chunk that tells what the answer has cost."""
    raise NotImplementedError(type(shape).__name__)


@usage_chunk.register
def _(shape: CompletionShape, usage: UsageBody) -> bytes:
    head = _head(f"cmpl-{shape.request_id}", "text_completion", shape)
    return head + b'"choices":[],"usage":' + msgspec.json.encode(usage) + b"}"


@usage_chunk.register
def _(shape: ChatShape, usage: UsageBody) -> bytes:
    head = _head(f"chatcmpl-{shape.request_id}", "chat.completion.chunk", shape)
    return head + b'"choices":[],"usage":' + msgspec.json.encode(usage) + b"}"


@singledispatch
def whole_body(shape: Shape, text: str, finish: str, usage: UsageBody) -> bytes:
    """Return the body of an answer that is sent in one piece."""
    raise NotImplementedError(type(shape).__name__)


@whole_body.register
def _(shape: CompletionShape, text: str, finish: str, usage: UsageBody) -> bytes:
    choice = {"index": 0, "text": text, "logprobs": None, "finish_reason": finish}
    return _whole(f"cmpl-{shape.request_id}", "text_completion", shape, choice, usage)


@whole_body.register
def _(shape: ChatShape, text: str, finish: str, usage: UsageBody) -> bytes:
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": finish}
    identifier = f"chatcmpl-{shape.request_id}"
    return _whole(identifier, "chat.completion", shape, choice, usage)


def _head(identifier: str, kind: str, shape: Shape) -> bytes:
    members = {
        "id": identifier,
        "object": kind,
        "created": shape.created,
        "model": shape.model,
    }
    return msgspec.json.encode(members)[:-1] + b","


def _whole(
    identifier: str, kind: str, shape: Shape, choice: Any, usage: UsageBody
) -> bytes:
    members = {
        "id": identifier,
        "object": kind,
        "created": shape.created,
        "model": shape.model,
        "choices": [choice],
        "usage": usage,
    }
    return msgspec.json.encode(members)
