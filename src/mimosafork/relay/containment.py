"""Keeping a fault in the code to the one request that it shows in."""

from collections.abc import Callable
from functools import wraps
from logging import getLogger
from typing import Any, Concatenate, ParamSpec, Protocol, TypeVar

from ..ids import RequestId
from ..kernel.messages.outcomes import Conclude, Outcome
from ..kernel.messages.problems import Problem, ProblemCode
from ..telemetry.catalogue.requests import REQUEST_FAULT
from ..telemetry.logs import log_event

logger = getLogger(__name__)

P = ParamSpec("P")


class Breakable(Protocol):
    """What stands for one request."""

    request_id: RequestId

    def break_off(self) -> None:
        """End the request as far as that still goes."""
        ...


B = TypeVar("B", bound=Breakable)


def contained(
    step: Callable[Concatenate[B, P], None],
) -> Callable[Concatenate[B, P], None]:
    """Return a step after whose exception its request is broken off.

    An exception that went further would leave the request half handled: its
    caller would wait for ever, and a socket that stays ready would bring the same
    exception again and again, which holds up all other streams.
    """

    @wraps(step)
    def run(exchange: B, *arguments: P.args, **named: P.kwargs) -> None:
        try:
            step(exchange, *arguments, **named)
        except Exception:
            log_event(logger, REQUEST_FAULT, exc_info=True, request=exchange.request_id)
            _break_off(exchange)

    return run


def _log_fault(exchange: Breakable) -> None:
    log_event(logger, REQUEST_FAULT, exc_info=True, request=exchange.request_id)


def _break_off(exchange: Any) -> None:
    """Tell the caller, then end the request; each as far as it still goes."""
    for step in (_tell_caller, _end):
        try:
            step(exchange)
        except Exception:
            _log_fault(exchange)


def _tell_caller(exchange: Any) -> None:
    if exchange.concluded:
        return
    problem = Problem(ProblemCode.INTERNAL, "a fault in this program")
    unknown = Conclude(exchange.request_id, Outcome.UNKNOWN, 0, problem)
    exchange.caller.write(exchange.answer.fail(unknown), exchange.ports.now_s)


def _end(exchange: Any) -> None:
    exchange.break_off()
