"""Progress of the endpoint feed, as instances publish it to their peers."""

import msgspec

from .row_version import RowVersion


class FeedUpdate(msgspec.Struct, frozen=True):
    """The store reported no change between two versions.

    Attributes
    ----------
    since : RowVersion
        Version of the newest change that was received, or of the full read if there was
        none after it.
    followed : RowVersion
        All changes up to this version have been received.
    """

    since: RowVersion
    followed: RowVersion

    def covers(self, position: RowVersion) -> bool:
        """Return whether a follower at `position` has missed no change up to here."""
        return self.since <= position and self.followed.era == position.era
