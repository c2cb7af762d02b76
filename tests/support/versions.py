"""Versions of rows for tests."""

from mimosafork.directory.row_version import RowVersion

ERA = 1


def version(number: int, era: int = ERA) -> RowVersion:
    """Return a version, of the first era unless another one is given."""
    return RowVersion(era, number)
