"""Messages to the relay, beside the kernel's effects."""

import socket
from dataclasses import dataclass

from ..claims.replayer import AnswerToReplay
from ..endpoints.calls import EndpointCall, OpenCall
from ..kernel.messages.attempts import Exposure, FailureKind
from ..kernel.messages.base import Effect
from ..kernel.messages.requests import Request
from .answers import Answer


@dataclass(frozen=True, slots=True)
class CallerAttached:
    """A caller's socket, with what it wants and the form of its answer.

    Sent before the kernel hears of the request, so that the relay knows it by
    the time that the first effect arrives.

    Attributes
    ----------
    sock : socket.socket
        Non-blocking; the relay's own from here on.
    """

    request: Request
    sock: socket.socket
    call: EndpointCall
    answer: Answer


@dataclass(frozen=True, slots=True)
class Opened:
    """An attempt's call has been sent; its answer is to be read from `sock`."""

    job: OpenCall
    sock: socket.socket


@dataclass(frozen=True, slots=True)
class OpenFailed:
    """An attempt's call could not be sent whole."""

    job: OpenCall
    kind: FailureKind
    exposure: Exposure
    detail: str


RelayMessage = CallerAttached | Opened | OpenFailed | AnswerToReplay | Effect
