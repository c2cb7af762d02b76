"""Making a stream out of the message that starts it."""

from dataclasses import dataclass

from .answers import count_tokens, prefix_marks, prompt_digest
from .memory import Holding
from .messages import FinishReason, HoldingKind, KvSegment, StreamStart
from .settings import EngineSettings
from .streams import Stream


@dataclass(frozen=True, slots=True)
class Joined:
    """Imported KV, joined in order."""

    segments: tuple[KvSegment, ...]
    tokens: int


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """Where an answer ends, and why there."""

    token: int
    reason: FinishReason


class StreamMaker:
    """Makes the streams of one life of an engine.

    Parameters
    ----------
    settings : EngineSettings
        How the engine behaves.
    incarnation : int
        Which life this is.
    """

    def __init__(self, settings: EngineSettings, incarnation: int) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.crash_markers: tuple[str, ...] = ()

    def make(self, start: StreamStart, imports: list[Holding], now_s: float) -> Stream:
        """Make a waiting stream with imported KV in front of its prompt."""
        joined = join(imports)
        own = KvSegment(self._segment_id(start), start.prompt)
        segments = (*joined.segments, own)
        text = "".join(segment.text for segment in segments)
        end = self._answer_end(start)
        deadline_s = now_s + start.deadline_ms / 1000
        return Stream(
            id=start.stream_id,
            attempt=start.attempt,
            owner=start.owner,
            priority=start.priority,
            digest=prompt_digest(text),
            segments=segments if start.export_kv else (),
            marks=() if imports else prefix_marks(start.prompt),
            prompt_tokens=count_tokens(start.prompt),
            joined_tokens=joined.tokens,
            imported_memory=sum(holding.tokens for holding in imports),
            output_tokens=max(start.max_tokens - start.offset, 0),
            next_token=start.offset,
            end_token=end.token,
            end_reason=end.reason,
            exports_kv=start.export_kv,
            crashes=any(marker in text for marker in self.crash_markers),
            holding=Holding(
                kind=HoldingKind.STREAM,
                id=start.stream_id,
                owner=start.owner,
                tokens=0,
                expires_s=deadline_s,
            ),
            deadline_s=deadline_s,
        )

    def _segment_id(self, start: StreamStart) -> str:
        return f"{self.settings.endpoint}/{self.incarnation}/{start.stream_id}"

    def _answer_end(self, start: StreamStart) -> AnswerEnd:
        natural = self.settings.answer_tokens
        if natural is not None and natural <= start.max_tokens:
            return AnswerEnd(max(natural, start.offset), FinishReason.STOP)
        return AnswerEnd(max(start.max_tokens, start.offset), FinishReason.LENGTH)


def join(imports: list[Holding]) -> Joined:
    """Join the segments of imports.

    An export holds the whole prompt it was computed for, imported parts too. One
    that begins with all that was joined so far therefore replaces it.
    """
    joined = Joined((), 0)
    for holding in imports:
        so_far = len(joined.segments)
        if holding.segments[:so_far] == joined.segments:
            joined = Joined(holding.segments, holding.joined_tokens)
        else:
            joined = Joined(
                joined.segments + holding.segments,
                joined.tokens + holding.joined_tokens,
            )
    return joined
