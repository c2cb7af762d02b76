"""Errors of the shared rows, by whether a failed call may have taken effect."""

from ..errors import MimosaforkError


class RowsError(MimosaforkError):
    """Base of failed calls to the shared rows."""


class StoreUnavailableError(RowsError):
    """The call had no effect and will have none; includes reads without an answer."""


class CallRejectedError(StoreUnavailableError):
    """The store rejected the call as invalid: no effect, and a retry will not help."""


class NotAllowedError(CallRejectedError):
    """The table is owned by others and must not be written."""


class HistoryExpiredError(RowsError):
    """The changes after the version are no longer kept; a full read is needed."""


class ConflictError(RowsError):
    """A condition of the write does not hold; nothing was written."""


class UnknownResultError(RowsError):
    """The write may have taken effect or may still do so; only a read can tell."""


class UnreadableRowError(MimosaforkError):
    """A row's value cannot be decoded.

    The previous configuration stays in force; the previous row of an endpoint does not.
    """
