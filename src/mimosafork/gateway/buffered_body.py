"""Body of a response that is kept until it is complete."""

from datetime import timedelta

MAX_BUFFERED_BYTES = 256 * 1024
"""Limit on the buffered bytes of one incomplete response."""

REFUSAL_BODY_TIMEOUT = timedelta(milliseconds=100)
MAX_REFUSAL_BODY = 64 * 1024
"""Limits on the body of a refusal, which only the reuse of its connection waits for."""


class BufferedBody:
    """Collects the parts of a body.

    Attributes
    ----------
    parts : list of bytes
    size : int
        Bytes received, kept or not.
    """

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.size = 0

    @property
    def exceeds_buffer(self) -> bool:
        """Whether it is too long to be kept until it is complete."""
        return self.size > MAX_BUFFERED_BYTES

    @property
    def exceeds_refusal(self) -> bool:
        """Whether it is longer than the body of a refusal may be."""
        return self.size > MAX_REFUSAL_BODY

    def add(self, data: bytes) -> None:
        """Keep a part."""
        self.parts.append(data)
        self.size += len(data)

    def skip(self, data: bytes) -> None:
        """Count a part without keeping it."""
        self.size += len(data)

    def take(self) -> list[bytes]:
        """Return the parts, and keep none."""
        parts, self.parts = self.parts, []
        return parts
