"""Timer effects."""

from datetime import timedelta

import msgspec

from .base import Effect, Message


class WakeAt(Effect, frozen=True):
    """Send `message` to the kernel at the monotonic time `at`."""

    at: timedelta
    message: Message = msgspec.field(default_factory=Message)
