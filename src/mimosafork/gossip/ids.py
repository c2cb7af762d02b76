"""A table of endpoint ids for one datagram, so that each is spelled once.

Ids of the usual form, ``i-`` and eight hexadecimal digits, travel as a number of
five bytes; any other travels as it is.
"""

import re

from ..ids import EndpointId
from .errors import BadDatagramError

USUAL = re.compile(r"i-[0-9a-f]{8}")
DIGITS = 8
PREFIX = "i-"
SHORT_BYTES = 5


class IdWriter:
    """Gives each id of one datagram an index.

    Attributes
    ----------
    packed : list of int or str
        What travels.
    size : int
        Bytes that the ids take, at most.
    """

    def __init__(self) -> None:
        self.packed: list[int | str] = []
        self.indexes: dict[str, int] = {}
        self.size = 0

    def index(self, endpoint: EndpointId) -> int:
        """Return an id's index; a new one is added."""
        found = self.indexes.get(endpoint)
        if found is not None:
            return found
        usual = USUAL.fullmatch(endpoint) is not None
        packed: int | str = int(endpoint[len(PREFIX) :], 16) if usual else endpoint
        self.size += SHORT_BYTES if usual else len(endpoint.encode()) + SHORT_BYTES
        self.indexes[endpoint] = len(self.packed)
        self.packed.append(packed)
        return self.indexes[endpoint]

    def cut(self, count: int) -> None:
        """Keep only the first ids; those that were added for nothing go."""
        gone = [each for each, index in self.indexes.items() if index >= count]
        for endpoint in gone:
            del self.indexes[endpoint]
        del self.packed[count:]


class IdReader:
    """Finds ids by their index.

    Parameters
    ----------
    packed : list of int or str
        As it came.
    """

    def __init__(self, packed: list[int | str]) -> None:
        self.packed = packed

    def endpoint(self, index: int) -> EndpointId:
        """Return the id at an index.

        Raises
        ------
        BadDatagramError
            If there is none.
        """
        try:
            packed = self.packed[index] if index >= 0 else None
        except IndexError:
            packed = None
        if packed is None:
            raise BadDatagramError(f"no endpoint id has index {index}")
        if type(packed) is int:
            return EndpointId(f"{PREFIX}{packed:0{DIGITS}x}")
        return EndpointId(str(packed))
