"""Effects that ask the kernel's task for time."""

from dataclasses import dataclass, field
from datetime import timedelta

from .base import Effect, Message


@dataclass(frozen=True, slots=True)
class WakeAt(Effect):
    """Send `message` back to the kernel at the monotonic instant `at`."""

    at: timedelta
    message: Message = field(default_factory=Message)
