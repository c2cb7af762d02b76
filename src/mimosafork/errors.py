"""Root of the exception tree.

Each layer derives its own errors from `MimosaforkError` in a module `errors` of
its package and converts those of the layer below with ``raise ... from ...``.
"""


class MimosaforkError(Exception):
    """Base class of all errors that this project raises deliberately."""
