"""How an endpoint of the prepared platform serves."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class EndpointSettings:
    """How an endpoint serves.

    Attributes
    ----------
    slots, queue : int
        Requests that run, and that wait.
    work : timedelta
        Length of a plain run; of an engine's run up to its first event.
    speed : float
        Divides all lengths of time of its work.
    idle : timedelta or None
        Channels that are idle for so long are closed.
    keep_alive_s : int or None
        Whole seconds that the `Keep-Alive` header states.
    max_connections : int or None
        Channels beyond are reset.
    close_every : int
        Each n-th answer says `Connection: close`; 0 for none.
    software : str
        Version of its software.
    """

    service: str
    zone: str = "zone-a"
    slots: int = 8
    queue: int = 4
    work: timedelta = timedelta(0)
    speed: float = 1.0
    health_path: str = "/healthz"
    idle: timedelta | None = None
    keep_alive_s: int | None = None
    max_connections: int | None = None
    close_every: int = 0
    software: str = "v1"
