"""Exit codes of all commands."""

from enum import IntEnum
from functools import singledispatch

from ..audit.errors import TrailUnavailableError
from ..configuration.errors import (
    ApplyUnknownError,
    ConfigurationUnavailableError,
    StaleBaseError,
)
from ..manifest.errors import ApiKeyError
from ..settings.errors import IniError
from ..storage.errors import StoreUnavailableError, UnknownResultError


class ExitCode(IntEnum):
    """What a script may tell from a command's end."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    NOT_RUN = 7


MEANINGS = {
    ExitCode.DONE: "done",
    ExitCode.FAILED: "something else went wrong; the message says what",
    ExitCode.USAGE: "the command line can't be understood",
    ExitCode.INVALID: "a file or an argument has faults; all are listed",
    ExitCode.CONFLICT: "somebody else's change came first and nothing was changed; "
    "or not all instances have the revision asked for",
    ExitCode.UNAVAILABLE: "the other side can't be reached; nothing was changed or run",
    ExitCode.UNKNOWN: "the change or request may have taken effect, or may yet do so",
    ExitCode.NOT_RUN: "the request was refused and was not run",
}


class CommandError(Exception):
    """Ends a command with an exit code and a message.

    Parameters
    ----------
    code : ExitCode
    message : str
        Written to standard error.
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        self.code = code
        self.message = message
        super().__init__(message)


@singledispatch
def exit_code_of(error: Exception) -> ExitCode:
    """Return the exit code for an error that ends a command."""
    return ExitCode.FAILED


@exit_code_of.register
def _(error: CommandError) -> ExitCode:
    return error.code


@exit_code_of.register(IniError)
@exit_code_of.register(ApiKeyError)
def _(error: Exception) -> ExitCode:
    return ExitCode.INVALID


@exit_code_of.register(StoreUnavailableError)
@exit_code_of.register(ConfigurationUnavailableError)
@exit_code_of.register(TrailUnavailableError)
def _(error: Exception) -> ExitCode:
    return ExitCode.UNAVAILABLE


@exit_code_of.register(UnknownResultError)
@exit_code_of.register(ApplyUnknownError)
def _(error: Exception) -> ExitCode:
    return ExitCode.UNKNOWN


@exit_code_of.register
def _(error: StaleBaseError) -> ExitCode:
    return ExitCode.CONFLICT
