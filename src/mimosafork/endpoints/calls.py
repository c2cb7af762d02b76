"""What a caller wants run, as it is sent to an endpoint."""

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
        """Length of the prompt, about as many bytes as it holds in memory."""
        return len(self.prompt)


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service.

    Attributes
    ----------
    path : str
        Path and query at the service, as the caller quoted them.
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
    """Job: send an attempt's call and give its socket to the relay."""

    dispatch: Dispatch
    call: EndpointCall


@dataclass(frozen=True, slots=True)
class CancelStream:
    """Job: have an engine end a stream and free what it holds."""

    address: str
    stream_id: StreamId
