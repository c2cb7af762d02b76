"""The core of the engine stand-in in virtual time."""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from mimosafork.standins.engine.core import EngineCore
from mimosafork.standins.engine.messages import Owner, StreamStart
from mimosafork.standins.engine.settings import EngineSettings
from mimosafork.standins.engine.streams import Stream

OWNER = Owner("entry-1", 1)
BYTES_PER_TOKEN = 4


@dataclass
class VirtualEngine:
    """An engine core with its own clock and a record of its stream events."""

    settings: EngineSettings
    now_s: float = 0.0
    records: list[tuple[str, str, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.core = EngineCore(self.settings, 1, self.now_s, self.record)

    def record(self, stream: Stream, event: str, detail: str) -> None:
        self.records.append((stream.id, event, detail))

    def start(self, stream_id: str, prompt_tokens: int = 1, **members: Any) -> Stream:
        """Start a stream with a prompt of the given length and advance the core."""
        prompt = members.pop("prompt", None) or unlike_prompt(stream_id, prompt_tokens)
        start = StreamStart(
            stream_id=stream_id,
            attempt=1,
            owner=members.pop("owner", OWNER),
            model=members.pop("model", "demo"),
            prompt=prompt,
            max_tokens=members.pop("max_tokens", 10),
            deadline_ms=members.pop("deadline_ms", 1_000_000),
            **members,
        )
        stream = self.core.start(start, self.now_s)
        self.core.advance(self.now_s)
        return stream

    def run_until(self, at_s: float) -> None:
        """Advance time to an instant, processing each due event on the way."""
        while True:
            due_s = self.core.advance(self.now_s)
            if due_s is None or due_s > at_s:
                break
            self.now_s = max(due_s, self.now_s)
        self.now_s = at_s
        self.core.advance(at_s)

    def run_for(self, seconds: float) -> None:
        """Advance time by a number of seconds."""
        self.run_until(self.now_s + seconds)

    def started(self) -> list[str]:
        """List the streams that entered the batch, in order of entry."""
        return [name for name, event, _ in self.records if event == "started"]

    @property
    def total(self) -> int:
        """Tokens of memory in use, evictable ones included."""
        return self.core.memory.held + self.core.cache.tokens


def unlike_prompt(name: str, tokens: int) -> str:
    """Return a prompt of the given length that shares no prefix with others."""
    size = tokens * BYTES_PER_TOKEN
    return (name + "." * size)[:size] if size > len(name) else name[:size]


def settings(**members: Any) -> EngineSettings:
    """Return settings with round figures: 1000 tokens/s, a token in 0.1 s."""
    defaults: dict[str, Any] = {
        "prefill_tokens_per_s": 1000.0,
        "token_interval": timedelta(milliseconds=100),
        "kv_capacity": 10_000,
    }
    return EngineSettings(**{**defaults, **members})
