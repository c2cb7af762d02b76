"""What the kernel is told of a prompt: its length, marks and digest."""

from hashlib import blake2b, sha256

from ..endpoints.calls import EndpointCall, ModelCall, ServiceCall
from ..ids import Digest
from ..kernel.messages.requests import PrefixMark

BYTES_PER_TOKEN = 4
FIRST_MARK_TOKENS = 1024
MARK_BYTES = 8


def prompt_tokens(prompt: bytes) -> int:
    """Return the size of a prompt in tokens."""
    return max(1, -(-len(prompt) // BYTES_PER_TOKEN))


def prefix_marks(prompt: bytes) -> tuple[PrefixMark, ...]:
    """Return the digests of a prompt's beginnings, the shortest first.

    One hash runs over the whole prompt and is copied at each length, so that the
    prompt is read once and not once for each mark.
    """
    tokens = prompt_tokens(prompt)
    running = blake2b(digest_size=MARK_BYTES)
    view = memoryview(prompt)
    marks = []
    done = 0
    length = FIRST_MARK_TOKENS
    while length <= tokens:
        running.update(view[done : length * BYTES_PER_TOKEN])
        done = length * BYTES_PER_TOKEN
        marks.append(PrefixMark(Digest(running.hexdigest()), length))
        length *= 2
    return tuple(marks)


def call_digest(call: EndpointCall) -> Digest:
    """Return the digest of all that decides a call's answer."""
    digest = sha256()
    for part in _deciding_parts(call):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Digest(digest.hexdigest())


def _deciding_parts(call: EndpointCall) -> list[bytes]:
    if isinstance(call, ServiceCall):
        target = f"{call.service} {call.method} {call.path}"
        return [b"service", target.encode(), call.body]
    assert isinstance(call, ModelCall)
    return [
        b"model",
        call.model.encode(),
        (call.adapter or "").encode(),
        str(call.max_tokens).encode(),
        call.prompt.encode(),
    ]
