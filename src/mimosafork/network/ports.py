"""Ports of the network that tasks are given."""

from datetime import timedelta
from typing import Any, Protocol

from .http import Answer


class Http(Protocol):
    """Port for short calls; `mimosafork.network.http.HttpClient` fills it."""

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout: timedelta | None = None,
    ) -> Answer:
        """Make one call, never repeated.

        Raises
        ------
        NetworkError
        """
        ...
