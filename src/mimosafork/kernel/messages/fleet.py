"""Messages about endpoints and instances."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import (
    AvailabilityZoneId,
    Digest,
    EndpointId,
    Incarnation,
    InstanceId,
    ModelId,
    ServiceId,
)
from .base import Message
from .requests import PrefixMark


class EndpointKind(Enum):
    """Kind of back end that an endpoint runs."""

    MODEL_ENGINE = "model-engine"
    PLAIN_SERVICE = "plain-service"


class LifecycleState(Enum):
    """State of an instance or endpoint in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class FencingMode(Enum):
    """Whether an endpoint checks the fencing number of orders."""

    CHECKED = "checked"
    IGNORED = "ignored"


class EndpointEntry(msgspec.Struct, frozen=True):
    """An endpoint in the platform's list.

    Attributes
    ----------
    address : str
        ``IP:PORT``.
    service : ServiceId or None
        Name of the plain service; None for a model engine.
    """

    endpoint: EndpointId
    kind: EndpointKind
    address: str
    availability_zone: AvailabilityZoneId
    incarnation: Incarnation
    state: LifecycleState
    service: ServiceId | None = None


class EntryInstance(msgspec.Struct, frozen=True):
    """An entry instance in the platform's list.

    Attributes
    ----------
    address, peer_address, operations_address : str
        ``IP:PORT`` for callers, peers and operators; the last is empty if it is not
        listed.
    """

    instance: InstanceId
    address: str
    peer_address: str
    availability_zone: AvailabilityZoneId
    incarnation: Incarnation
    state: LifecycleState
    operations_address: str = ""


class InstancesListed(Message, frozen=True):
    """The platform's instance list was read.

    Attributes
    ----------
    age : timedelta
        Age of the list as reported by the platform.
    """

    endpoints: tuple[EndpointEntry, ...]
    instances: tuple[EntryInstance, ...]
    age: timedelta = timedelta(0)


class LoadReport(msgspec.Struct, frozen=True):
    """Load reported by an endpoint; the data were `lag` old at that time.

    Attributes
    ----------
    waiting_prefill_tokens : int
        Prompt tokens waiting for prefill.
    kv_used, kv_capacity : int
        KV memory in tokens.
    prefill_rate : float
        Prefill throughput in prompt tokens per second.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    sequence: int
    lag: timedelta
    running: int
    waiting: int
    waiting_prefill_tokens: int
    kv_used: int
    kv_capacity: int
    prefill_rate: float
    models: tuple[ModelId, ...]
    draining: bool
    fencing: FencingMode = FencingMode.IGNORED
    role: str = "mixed"


class LoadReported(Message, frozen=True):
    """A load report was received from an endpoint, directly or through a peer.

    Attributes
    ----------
    probed_by : InstanceId or None
        Instance that probed the endpoint; None for this instance.
    """

    report: LoadReport
    probed_by: InstanceId | None = None


class ProbeFailed(Message, frozen=True):
    """An endpoint did not answer a load probe of this instance."""

    endpoint: EndpointId


class CacheEventKind(Enum):
    """Kind of change to an engine's prefix cache."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache."""

    sequence: int
    kind: CacheEventKind
    mark: Digest
    tokens: int


class CacheEventsReported(Message, frozen=True):
    """Cache events of an engine; they may be late and have gaps.

    Attributes
    ----------
    after : int
        Sequence number after which events were requested.
    newest : int
        The engine's newest sequence number at that time.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    after: int
    newest: int
    events: tuple[CacheEvent, ...]


class CacheSnapshotReported(Message, frozen=True):
    """Complete prefix cache of an engine at one sequence number."""

    endpoint: EndpointId
    incarnation: Incarnation
    sequence: int
    marks: tuple[PrefixMark, ...]
