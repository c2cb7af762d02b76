"""Progress of the endpoint feed, as instances publish it to their peers."""

import msgspec


class FeedUpdate(msgspec.Struct, frozen=True):
    """The store reported no change between two versions.

    Attributes
    ----------
    since : int
        Version of the newest change that was received, or of the full read if there was
        none after it.
    followed : int
        All changes up to this version have been received.
    """

    since: int
    followed: int

    def covers(self, position: int) -> bool:
        """Return whether a follower at `position` has missed no change up to here."""
        return self.since <= position
