"""Effects that ask the kernel's task for time."""

from datetime import timedelta

import msgspec

from .base import Effect, Message


class WakeAt(Effect, frozen=True):
    """Send `message` back to the kernel at the monotonic instant `at`."""

    at: timedelta
    message: Message = msgspec.field(default_factory=Message)
