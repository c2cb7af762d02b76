"""The one order of rows: by the era of the store, then by its counter."""

import sys
from typing import NamedTuple


class RowVersion(NamedTuple):
    """Position of a row, or of a whole read, in the history of the store.

    A store that is restored from a copy gives out numbers again, so that a number alone
    orders rows of one era only.

    Attributes
    ----------
    era : int
        Rises each time the store is restored from a copy; 0 if it is not stated.
    number : int
        From one counter over all rows.
    """

    era: int
    number: int


NO_VERSION = RowVersion(0, 0)
"""Older than any row."""

LATEST = RowVersion(sys.maxsize, sys.maxsize)
"""Newer than any row."""
