"""Counts that the relay keeps for metrics."""

from dataclasses import dataclass, field

from .sequence import DROPPED, Judgement


@dataclass(slots=True)
class RelayCounters:
    """Written by the relay's thread alone; reading from others is safe.

    Attributes
    ----------
    events : int
        Events of engines that went to callers.
    dropped : dict of Judgement to int
        Events that did not, by reason.
    exchanges : int
        Callers that are attached now.
    held_bytes : int
        Bodies of the attached callers' requests.
    streams : int
        Attempts whose answers are being read now.
    """

    events: int = 0
    bytes_out: int = 0
    exchanges: int = 0
    held_bytes: int = 0
    streams: int = 0
    callers_gone: int = 0
    stalled: int = 0
    dropped: dict[Judgement, int] = field(
        default_factory=lambda: dict.fromkeys(sorted(DROPPED, key=str), 0)
    )

    def note_drop(self, judgement: Judgement) -> None:
        """Count an event that was not delivered."""
        self.dropped[judgement] = self.dropped.get(judgement, 0) + 1
