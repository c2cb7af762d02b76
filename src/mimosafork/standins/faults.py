"""Faults on demand: the messages, their registry and their reading.

A fault arrives as `{"kind": K, ...}`. Its class registers itself under K; each
stand-in takes the kinds that it knows in its `apply_fault`.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from .errors import BadRequestError

FAULT_TYPES: dict[str, type["Fault"]] = {}

FaultType = TypeVar("FaultType", bound="type[Fault]")


@dataclass(frozen=True, slots=True)
class Fault:
    """Base of all faults."""


def register_fault(kind: str) -> Callable[[FaultType], FaultType]:
    """Register a class of faults under the kind that requests name."""

    def register(fault_type: FaultType) -> FaultType:
        FAULT_TYPES[kind] = fault_type
        return fault_type

    return register


@dataclass(frozen=True, slots=True)
class FaultKind:
    """The part of a fault that says how to read the rest."""

    kind: str


def decode_fault(body: bytes) -> Fault:
    """Read a fault from a request's body.

    Raises
    ------
    BadRequestError
        If the body is no fault.
    """
    try:
        kind = msgspec.json.decode(body, type=FaultKind).kind
        fault_type = FAULT_TYPES.get(kind)
        if fault_type is None:
            raise BadRequestError(
                f"unknown fault {kind!r}; known: {sorted(FAULT_TYPES)}"
            )
        return msgspec.json.decode(body, type=fault_type)
    except msgspec.MsgspecError as error:
        raise BadRequestError(str(error)) from error


@register_fault("latency")
@dataclass(frozen=True, slots=True)
class Latency(Fault):
    """Every request is handled this much later."""

    seconds: float


@register_fault("outage")
@dataclass(frozen=True, slots=True)
class Outage(Fault):
    """Every request gets 503, or a reset connection, and is not handled."""

    reset: bool = False


@register_fault("cut")
@dataclass(frozen=True, slots=True)
class Cut(Fault):
    """Callers that name one of these instances get no answer."""

    peers: tuple[str, ...]


@register_fault("crash")
@dataclass(frozen=True, slots=True)
class Crash(Fault):
    """The process dies, and another one takes its address after `down_s`."""

    down_s: float = 0.5


@register_fault("freeze")
@dataclass(frozen=True, slots=True)
class Freeze(Fault):
    """The process stands still; its sockets stay open."""

    seconds: float


@register_fault("lose-answers")
@dataclass(frozen=True, slots=True)
class LoseAnswers(Fault):
    """The next `count` writes or runs take effect and get no answer."""

    count: int = 1


@register_fault("stale-reads")
@dataclass(frozen=True, slots=True)
class StaleReads(Fault):
    """Reads show what was true this many seconds ago."""

    seconds: float


@register_fault("refuse")
@dataclass(frozen=True, slots=True)
class Refuse(Fault):
    """The next `count` starts are refused with this reason."""

    reason: str = "busy"
    count: int = 1


@register_fault("slow")
@dataclass(frozen=True, slots=True)
class Slow(Fault):
    """Everything takes `factor` times as long, for some seconds."""

    factor: float
    seconds: float


@register_fault("reset-streams")
@dataclass(frozen=True, slots=True)
class ResetStreams(Fault):
    """The connections of all streams are cut; the streams run on."""


@register_fault("crash-on-prompt")
@dataclass(frozen=True, slots=True)
class CrashOnPrompt(Fault):
    """A prompt that holds the marker crashes the engine at its prefill."""

    marker: str
    down_s: float = 0.5
