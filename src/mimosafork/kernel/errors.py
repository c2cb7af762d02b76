"""Errors of the kernel."""

from ..errors import MimosaforkError


class KernelError(MimosaforkError):
    """Base class of the kernel's errors."""


class DuplicatePluginError(KernelError):
    """Two plug-ins are registered under the same name."""


class UnknownPluginError(KernelError):
    """Settings name a plug-in that is not registered."""
