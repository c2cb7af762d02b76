"""Whether an availability zone is evacuated, as of a version."""

import msgspec

from .row_version import RowVersion


class ZoneState(msgspec.Struct, frozen=True):
    """Whether a zone is evacuated, as of a version."""

    evacuated: bool
    version: RowVersion
