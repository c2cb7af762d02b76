"""Errors of the shared rows, by what a failed call leaves open."""

from ..errors import MimosaforkError


class RowsError(MimosaforkError):
    """Base of failed calls to the shared rows."""


class StoreUnavailableError(RowsError):
    """Nothing was done, and nothing will be; reads without an answer count here."""


class CallRejectedError(StoreUnavailableError):
    """The store found a fault in the call: not done, and repeating is no use."""


class NotAllowedError(CallRejectedError):
    """The table belongs to others, and may not be written."""


class HistoryExpiredError(RowsError):
    """The changes after the version are no longer told; read the table whole."""


class ConflictError(RowsError):
    """A condition of the write does not hold; nothing was done."""


class UnknownResultError(RowsError):
    """The write may have taken effect, or may yet do so; only a look can tell."""


class UnreadableRowError(MimosaforkError):
    """A row's value cannot be read.

    A configuration before it stays in force; an endpoint's update before it does not.
    """
