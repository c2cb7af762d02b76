"""Messages about endpoints that may be cold."""

from .base import Message


class ColdReviewDue(Message, frozen=True):
    """Changes of which endpoints may be cold are logged, if there are any."""
