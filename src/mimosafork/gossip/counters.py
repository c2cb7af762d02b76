"""What has passed through an exchange."""

import msgspec


class Counters(msgspec.Struct):
    """What has passed, since the start.

    Attributes
    ----------
    refused : int
        Datagrams that were cut, foreign or broke the format.
    stale : int
        Datagrams that may have waited while this process was suspended.
    repeated : int
        Datagrams that had come before, or too late.
    """

    received: int = 0
    refused: int = 0
    stale: int = 0
    repeated: int = 0
    sent: int = 0
    sent_bytes: int = 0
