"""Splits a prompt into segments over engines."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ...kernel.fleet import Endpoint
from ..engine_load import EngineLoad

IMPORT_SHARE = 16
"""Imported tokens per token of memory that an import uses (docs/PLATFORM.md)."""

MAX_MEMBERS = 8
"""Maximum engines of one gang: each further engine is one more that can fail."""

USABLE_SHARE = 0.9
"""Part of the estimated free memory that a plan uses: reports are delayed."""


@dataclass(frozen=True, slots=True)
class Room:
    """Memory that an engine may give to a gang."""

    endpoint: Endpoint
    tokens: int


@dataclass(frozen=True, slots=True)
class Segment:
    """A segment of a prompt on an engine.

    Attributes
    ----------
    first, tokens : int
        Offset in the prompt, and length.
    import_tokens : int
        Memory that the import of all earlier segments uses there.
    """

    endpoint: Endpoint
    first: int
    tokens: int
    import_tokens: int


def free_room(
    pairs: Iterable[tuple[Endpoint, EngineLoad]], long_share: float
) -> list[Room]:
    """Return each engine's memory that is free for long prompts, largest first."""
    rooms = []
    for endpoint, load in pairs:
        free = (load.capacity - load.memory_used) * USABLE_SHARE
        bound = load.capacity * long_share - load.long_memory
        rooms.append(Room(endpoint, int(min(free, bound))))
    return sorted((room for room in rooms if room.tokens > 0), key=_by_room)


def total_room(
    pairs: Iterable[tuple[Endpoint, EngineLoad]], long_share: float
) -> list[Room]:
    """Return each engine's memory for long prompts when idle, largest first."""
    rooms = [
        Room(endpoint, int(load.capacity * long_share)) for endpoint, load in pairs
    ]
    return sorted((room for room in rooms if room.tokens > 0), key=_by_room)


def _by_room(room: Room) -> tuple[int, str]:
    return -room.tokens, room.endpoint.entry.endpoint


def split(
    prompt_tokens: int, answer_tokens: int, rooms: Sequence[Room]
) -> list[Segment] | None:
    """Split a prompt over the fewest engines that can hold it.

    Parameters
    ----------
    rooms : sequence of Room
        Largest first.

    Returns
    -------
    list of Segment or None
        In order of engine id, which is the order of all gangs' reservations; None if
        the prompt does not fit into the `MAX_MEMBERS` largest.
    """
    for members in range(1, min(MAX_MEMBERS, len(rooms)) + 1):
        chosen = sorted(rooms[:members], key=lambda room: room.endpoint.entry.endpoint)
        segments = _split_over(prompt_tokens, answer_tokens, chosen)
        if segments is not None:
            return segments
    return None


def _split_over(
    prompt_tokens: int, answer_tokens: int, rooms: Sequence[Room]
) -> list[Segment] | None:
    """Fill engines in proportion to their memory left after import and answer."""
    left_over = [
        room.tokens - prompt_tokens // IMPORT_SHARE - answer_tokens for room in rooms
    ]
    if min(left_over) <= 0 or sum(left_over) < prompt_tokens:
        return None
    share = prompt_tokens / sum(left_over)
    segments: list[Segment] = []
    first = 0
    for number, (room, most) in enumerate(zip(rooms, left_over, strict=True)):
        tokens = int(most * share)
        if number == len(rooms) - 1:
            tokens = prompt_tokens - first
        import_tokens = -(-first // IMPORT_SHARE)
        segments.append(Segment(room.endpoint, first, tokens, import_tokens))
        first += tokens
    return segments
