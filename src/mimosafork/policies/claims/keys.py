"""Claim keys and stream ids, which every instance derives identically."""

from hashlib import blake2b

from ...ids import ClaimKey, StreamId
from ...kernel.messages.requests import Repeatability, Request

KEY_BYTES = 16
SEPARATOR = b"\0"
FIRST_GENERATION = 0


def needs_claim(request: Request) -> bool:
    """Return whether a request must not run without a confirmed claim."""
    return request.repeatability is Repeatability.NON_IDEMPOTENT


def wants_claim(request: Request) -> bool:
    """Return whether a request is claimed at all."""
    return needs_claim(request) or request.idempotency_key is not None


def claim_key_of(request: Request) -> ClaimKey:
    """Return the key of a request's claim row.

    A non-idempotent request without a key is claimed under its id, which its
    caller receives: a resend with that id as its key finds the answer.
    """
    name = request.idempotency_key or request.request_id
    return ClaimKey(_digest(request.account, name))


def stream_base_of(request: Request, generation: int) -> str:
    """Return the common prefix of the ids of a key's streams.

    It lets an instance find the engine's stream without the store. It covers the
    body, so that another body under the same key never finds this answer.
    """
    name = request.idempotency_key or request.request_id
    base = _digest(request.account, name, request.body_digest)
    return f"{base}-{generation}"


def stream_ids(base: str, attempts: int) -> tuple[StreamId, ...]:
    """Return the stream ids of the first attempts under a base."""
    return tuple(StreamId(f"{base}.{number}") for number in range(1, attempts + 1))


def _digest(*parts: str) -> str:
    joined = SEPARATOR.join(part.encode() for part in parts)
    return blake2b(joined, digest_size=KEY_BYTES).hexdigest()
