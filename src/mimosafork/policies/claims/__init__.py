"""At most one run for each idempotency key, and the same answer to each resend."""

from . import attach, closing, stage

__all__ = ["attach", "closing", "stage"]
