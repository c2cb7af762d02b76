"""Errors of the accepted configuration."""

from ..errors import MimosaforkError
from ..ids import ApplyId, Revision


class ConfigurationError(MimosaforkError):
    """Base of this package's errors."""


class ConfigurationUnavailableError(ConfigurationError):
    """The store can't be reached; nothing was changed."""


class ConfigurationUnreadableError(ConfigurationError):
    """What the store or a peer holds is no manifest, or not the one it should be."""


class StaleBaseError(ConfigurationError):
    """The base revision is not, or not yet, in the store."""

    def __init__(self, base: Revision, current: Revision) -> None:
        self.base = base
        self.current = current
        super().__init__(
            f"revision {base} was given as the base, but the store has {current}"
        )


class ApplyUnknownError(ConfigurationError):
    """The change may have been accepted, or may yet be.

    Parameters
    ----------
    apply_id : ApplyId
        Under which the same change can be tried again without doing it twice.
    """

    def __init__(self, apply_id: ApplyId, why: str) -> None:
        self.apply_id = apply_id
        super().__init__(
            f"apply {apply_id} may have been accepted or may yet be: {why}"
        )
