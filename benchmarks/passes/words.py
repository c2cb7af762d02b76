"""How words of running work come to other instances, and what engines turned away."""

from dataclasses import dataclass

from mimosafork.ids import AvailabilityZoneId, EndpointId, InstanceId

SILENT_S = 1.0
"""A peer that has not been heard for so long is taken to be gone, with its work."""


@dataclass(frozen=True, slots=True)
class Words:
    """Trouble of the words between instances.

    Attributes
    ----------
    late_s : float
        All words come so much later than usual.
    cut_s : tuple of float or None
        From when to when instances of different zones don't hear each other, while
        both reach all engines.
    """

    late_s: float = 0.0
    cut_s: tuple[float, float] | None = None

    def heard(
        self, speaker: AvailabilityZoneId, hearer: AvailabilityZoneId, now_s: float
    ) -> bool:
        """Return whether a word that is said now comes to a zone."""
        if self.cut_s is None or speaker == hearer:
            return True
        return not self.cut_s[0] <= now_s < self.cut_s[1]


@dataclass(frozen=True, slots=True)
class Rejection:
    """An arrival that a full engine turned away.

    Attributes
    ----------
    call : tuple of int
        Number of the call, and of its caller's attempt.
    """

    at_s: float
    engine: EndpointId
    entry: InstanceId
    call: tuple[int, int]
