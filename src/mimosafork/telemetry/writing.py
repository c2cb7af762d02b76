"""Writes lines to a file descriptor without a buffer in between."""

import os


class DescriptorStream:
    """A stream whose writer may be stuck in it when the process ends.

    Python's own standard output has a buffer with a lock, and flushes it at the end
    of the process: with a thread stuck in a pipe that nobody reads, that would never
    end, or end in a fatal error.

    Parameters
    ----------
    descriptor : int

    Attributes
    ----------
    failed : int
        Writes that failed, such as those to a pipe that its reader has closed.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.failed = 0

    def write(self, text: str) -> int:
        """Write a text, waiting for its reader; a failure is only counted."""
        left = memoryview(text.encode("utf-8", "backslashreplace"))
        try:
            while left:
                left = left[os.write(self.descriptor, left) :]
        except OSError:
            self.failed += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: what was written is gone already."""
