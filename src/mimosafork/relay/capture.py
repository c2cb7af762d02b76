"""Keeping a copy of an answer while it is delivered."""

from ..claims.answers import (
    LARGEST_KEPT_BYTES,
    AnswerCaptured,
    KeptResponse,
    KeptTokens,
)
from ..ids import RequestId
from .answers import ServiceResponse
from .events import StreamEvent

EVENT_BYTES = 8
"""What an event takes in a kept answer beside its text."""


class AnswerCapture:
    """Gathers one answer over all attempts of its request."""

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.tokens: list[int] = []
        self.size = 0

    def take(self, events: list[StreamEvent]) -> None:
        """Copy events that are delivered; nothing more once it is too long."""
        if self.size > LARGEST_KEPT_BYTES:
            return
        self.texts += [event.text for event in events]
        self.tokens += [event.tokens for event in events]
        self.size += sum([len(event.text) + EVENT_BYTES for event in events])
        if self.size > LARGEST_KEPT_BYTES:
            self.texts.clear()
            self.tokens.clear()

    def whole_stream(
        self, request_id: RequestId, ending: StreamEvent
    ) -> AnswerCaptured:
        """Return the answer of a model, given the engine's last event."""
        if self.size > LARGEST_KEPT_BYTES:
            return AnswerCaptured(request_id, None)
        kept = KeptTokens(
            texts=tuple(self.texts),
            tokens=tuple(self.tokens),
            finish=ending.finish or "",
            prompt_tokens=ending.usage.prompt_tokens if ending.usage else 0,
        )
        return AnswerCaptured(request_id, kept)

    def whole_response(
        self, request_id: RequestId, response: ServiceResponse
    ) -> AnswerCaptured:
        """Return the answer of a plain service."""
        if len(response.body) > LARGEST_KEPT_BYTES:
            return AnswerCaptured(request_id, None)
        kept = KeptResponse(response.status, response.headers, response.body)
        return AnswerCaptured(request_id, kept)
