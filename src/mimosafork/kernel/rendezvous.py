"""Rendezvous hashing: agreement on ownership without communication.

All instances that know the same candidates rank them identically for each subject.
Adding or removing a candidate moves only the subjects that it owns.
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import TypeVar

C = TypeVar("C", bound=str)

SCORE_BYTES = 8


def score(subject: str, candidate: str) -> int:
    """Return the candidate's score for a subject; the highest score owns it."""
    joined = f"{subject}\x00{candidate}".encode()
    return int.from_bytes(blake2b(joined, digest_size=SCORE_BYTES).digest(), "big")


def ranked(subject: str, candidates: Iterable[C]) -> list[C]:
    """Return the candidates for a subject, highest score first."""
    return sorted(candidates, key=lambda each: score(subject, each), reverse=True)
