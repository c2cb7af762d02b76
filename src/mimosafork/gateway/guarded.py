"""Steps whose failure must not keep the steps after them from being run."""

from collections.abc import Callable
from logging import getLogger

from ..kernel.messages.base import Effect, Message
from ..telemetry.catalogue.lifecycle import EFFECT_FAULT
from ..telemetry.logs import log_event

logger = getLogger(__name__)


def run_guarded(
    subject: Effect | Message, step: Callable[..., None], *args: object
) -> bool:
    """Run one step of a message or an effect, and return whether it succeeded.

    An exception that propagated would lose the remaining effects, and with them final
    responses and the ends of attempts.
    """
    try:
        step(subject, *args)
    except Exception:
        effect = type(subject).__name__
        log_event(logger, EFFECT_FAULT, exc_info=True, effect=effect)
        return False
    return True
