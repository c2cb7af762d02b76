"""Requests that the claim stage holds."""

from dataclasses import dataclass
from enum import Enum

from ...kernel.messages.claims import Claim


class ClaimPhase(Enum):
    """Operation that a held request waits for."""

    CLAIMING = "claiming"
    SEARCHING = "searching"
    REPLAYING = "replaying"


@dataclass(slots=True)
class PendingClaim:
    """Progress of the claim stage with one request.

    Attributes
    ----------
    existing : Claim or None
        Another call's claim on the key, when there is one.
    takeovers : int
        Number of claims of ended calls that this request has tried to replace.
    """

    phase: ClaimPhase = ClaimPhase.CLAIMING
    existing: Claim | None = None
    takeovers: int = 0
