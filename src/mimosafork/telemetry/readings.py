"""Values of observable instruments."""

from collections.abc import Callable, Iterable

import msgspec


class Reading(msgspec.Struct, frozen=True):
    """A value of an observable instrument.

    Parameters
    ----------
    value : int or float
        In the instrument's unit.
    attributes : tuple of (str, str)
        Its attributes' names and values.
    """

    value: float
    attributes: tuple[tuple[str, str], ...] = ()


ReadingSource = Callable[[], Iterable[Reading]]
