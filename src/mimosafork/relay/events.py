"""Events in an engine's stream, as they stand on the wire."""

import msgspec

from ..network.decoding import UNDECODABLE
from .errors import InvalidAnswerError

DATA_PREFIX = b"data:"
EVENT_END = b"\n\n"
END_OF_STREAM = b"[DONE]"
MAX_EVENT_BYTES = 1 << 20


class UsageMember(msgspec.Struct, gc=False):
    """What the stream has cost, in tokens."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


class StreamEvent(msgspec.Struct, gc=False):
    """One event; see docs/PLATFORM.md."""

    stream_id: str
    attempt: int
    offset: int
    tokens: int = 0
    text: str = ""
    finish: str | None = None
    usage: UsageMember | None = None
    kv_handle: str | None = None


class RefusalBody(msgspec.Struct):
    """Body of an endpoint's refusal."""

    refused: str
    detail: str = ""


class EventReader:
    """Cuts a byte stream into events."""

    def __init__(self) -> None:
        self.rest = bytearray()
        self.decoder = msgspec.json.Decoder(StreamEvent)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes, in their order.

        Raises
        ------
        InvalidAnswerError
            If an event is not what the protocol says, or endless.
        """
        events = []
        for block in self._complete_blocks(data):
            payload = _payload(block)
            if payload is None or payload == END_OF_STREAM:
                continue
            try:
                events.append(self.decoder.decode(payload))
            except UNDECODABLE as error:
                raise InvalidAnswerError(f"an event is malformed: {error}") from error
        return events

    def _complete_blocks(self, data: bytes) -> list[bytes]:
        """Return the blocks that `data` completes, without the empty lines.

        Bytes of an unfinished event are searched once: it may come in many pieces.
        """
        if not self.rest:
            blocks = data.split(EVENT_END)
            self.rest += blocks.pop()
        else:
            searched = len(self.rest) - len(EVENT_END) + 1
            self.rest += data
            blocks = []
            if self.rest.find(EVENT_END, max(0, searched)) >= 0:
                *blocks, rest = bytes(self.rest).split(EVENT_END)
                self.rest = bytearray(rest)
        if len(self.rest) > MAX_EVENT_BYTES:
            raise InvalidAnswerError(f"an event is over {MAX_EVENT_BYTES} bytes long")
        return blocks


def _payload(block: bytes) -> bytes | None:
    """Return an event's data; None for comments and keep-alive lines."""
    if block.startswith(DATA_PREFIX) and b"\n" not in block:
        return block[len(DATA_PREFIX) :].strip()
    lines = [
        line[len(DATA_PREFIX) :].strip()
        for line in block.splitlines()
        if line.startswith(DATA_PREFIX)
    ]
    return b"\n".join(lines) if lines else None


def decode_refusal(body: bytes) -> RefusalBody | None:
    """Return the refusal that a body states; None if it states none."""
    try:
        return msgspec.json.decode(body, type=RefusalBody)
    except UNDECODABLE:
        return None
