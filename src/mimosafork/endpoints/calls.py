"""Calls of clients, as they are sent to endpoints."""

from dataclasses import dataclass

from ..ids import AdapterId, ModelId, ServiceId, StreamId
from ..kernel.messages.dispatch import Dispatch


@dataclass(frozen=True, slots=True)
class ModelCall:
    """A completion by a model.

    Attributes
    ----------
    prompt : str
        Whole text, kept until the request is concluded so that it can be sent to
        another engine.
    """

    model: ModelId
    adapter: AdapterId | None
    prompt: str
    max_tokens: int

    @property
    def size(self) -> int:
        """Length of the prompt, about its number of bytes in memory."""
        return len(self.prompt)


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service.

    Attributes
    ----------
    path : str
        Path and query at the service, with the client's quoting.
    """

    service: ServiceId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Length of the body in bytes."""
        return len(self.body)


EndpointCall = ModelCall | ServiceCall


@dataclass(frozen=True, slots=True)
class OpenCall:
    """Job: send the call of an attempt and hand its socket to the relay."""

    dispatch: Dispatch
    call: EndpointCall


@dataclass(frozen=True, slots=True)
class CancelStream:
    """Job: cancel a stream on an engine and free what it holds."""

    address: str
    stream_id: StreamId
