"""What an instance tells its peers of the endpoints' feed that it follows."""

import msgspec


class FeedUpdate(msgspec.Struct, frozen=True):
    """The store told no change between two versions.

    Attributes
    ----------
    since : int
        Version of the newest change that was told, or of the whole read if none came
        after it.
    followed : int
        All changes up to this version have been told.
    """

    since: int
    followed: int

    def covers(self, position: int) -> bool:
        """Return whether one who knows all up to a position knows all up to here."""
        return self.since <= position
