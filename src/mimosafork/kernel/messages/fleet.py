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
    """What an endpoint runs."""

    MODEL_ENGINE = "model-engine"
    PLAIN_SERVICE = "plain-service"


class LifecycleState(Enum):
    """State of an instance or endpoint in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class FencingMode(Enum):
    """What an endpoint does with an order's fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


class EndpointEntry(msgspec.Struct, frozen=True):
    """An endpoint as the platform lists it.

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
    """An entry instance as the platform lists it.

    Attributes
    ----------
    address, peer_address, operations_address : str
        ``IP:PORT`` for callers, for peers, and for operators; the last is empty if
        it is not listed.
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
        How old the list was, as the platform itself says.
    """

    endpoints: tuple[EndpointEntry, ...]
    instances: tuple[EntryInstance, ...]
    age: timedelta = timedelta(0)


class LoadReport(msgspec.Struct, frozen=True):
    """An endpoint's own report of its load, `lag` old when it was made.

    Attributes
    ----------
    waiting_prefill_tokens : int
        Prompt tokens that wait for their prefill.
    kv_used, kv_capacity : int
        KV memory in tokens.
    prefill_rate : float
        Prompt tokens a second.
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
    """A load report arrived, from the endpoint or by way of a peer.

    Attributes
    ----------
    heard_from : InstanceId or None
        The instance that asked the endpoint; None: this one.
    """

    report: LoadReport
    probed_by: InstanceId | None = None


class ProbeFailed(Message, frozen=True):
    """An endpoint does not answer this instance's load probes."""

    endpoint: EndpointId


class CacheEventKind(Enum):
    """What happened to a prefix in an engine's cache."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache."""

    sequence: int
    kind: CacheEventKind
    mark: Digest
    tokens: int


class CacheEventsReported(Message, frozen=True):
    """Cache events of an engine, possibly late and with gaps.

    Attributes
    ----------
    after : int
        The sequence number that was asked after.
    newest : int
        The engine's newest sequence number at that time.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    after: int
    newest: int
    events: tuple[CacheEvent, ...]


class CacheSnapshotReported(Message, frozen=True):
    """The whole prefix cache of an engine at one sequence number."""

    endpoint: EndpointId
    incarnation: Incarnation
    sequence: int
    marks: tuple[PrefixMark, ...]
