"""A stream's state in the engine, and the readers that are attached to it."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from .memory import Holding
from .messages import FinishReason, KvSegment, Owner, Usage


class StreamState(Enum):
    """Where a stream is in its life."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODING = "decoding"
    ENDED = "ended"


class Reader(Protocol):
    """Who is shown a stream's progress."""

    def progressed(self) -> None:
        """Note that tokens were added or the stream has ended."""


@dataclass(slots=True, eq=False)
class Stream:
    """One stream; the engine's task owns it.

    Parameters
    ----------
    digest : bytes
        Decides the answer.
    segments : tuple of KvSegment
        The whole joined prompt, kept only if its KV is to be exported.
    marks : tuple of str
        Prefix marks of the prompt; none if KV was imported in front of it.
    prompt_tokens : int
        Size of the own prompt, without imported KV.
    joined_tokens : int
        Size of the imported KV in front of it.
    imported_memory : int
        Memory that the imported KV takes.
    output_tokens : int
        Memory that the answer takes.
    next_token : int
        The token that comes next, counted from the start of the answer.
    end_token : int
        Where the answer ends.
    prefill_left : float
        Tokens of the prompt still to compute.
    next_due_s : float
        When the next token is due.
    """

    id: str
    attempt: int
    owner: Owner
    priority: int
    digest: bytes
    segments: tuple[KvSegment, ...]
    marks: tuple[str, ...]
    prompt_tokens: int
    joined_tokens: int
    imported_memory: int
    output_tokens: int
    next_token: int
    end_token: int
    end_reason: FinishReason
    exports_kv: bool
    crashes: bool
    holding: Holding
    deadline_s: float
    state: StreamState = StreamState.WAITING
    cached_tokens: int = 0
    prefill_left: float = 0.0
    next_due_s: float = 0.0
    finish: FinishReason | None = None
    kv_handle: str | None = None
    has_run: bool = False
    readers: list[Reader] = field(default_factory=list)

    @property
    def memory_tokens(self) -> int:
        """Memory that the stream needs if nothing of it is cached."""
        return self.prompt_tokens + self.output_tokens + self.imported_memory

    @property
    def usage(self) -> Usage:
        """What the stream has used so far."""
        return Usage(
            prompt_tokens=self.prompt_tokens + self.joined_tokens,
            cached_tokens=self.cached_tokens,
            completion_tokens=self.next_token,
        )
