"""Messages about watching endpoints and passing on what is seen."""

from base64 import urlsafe_b64encode
from hashlib import blake2b
from typing import NewType

import msgspec

from ...ids import AvailabilityZoneId, EndpointId, Incarnation, ModelId
from .base import Effect, Message
from .fleet import EndpointKind, FencingMode
from .peers import Origin, PeerValue

EndpointKey = NewType("EndpointKey", str)
"""Short name of an endpoint in what peers tell, eight letters."""

KEY_BYTES = 6
"""Of 600 endpoints two share a key once in some billion fleets."""


def endpoint_key(endpoint: EndpointId) -> EndpointKey:
    """Return an endpoint's short name."""
    digest = blake2b(endpoint.encode(), digest_size=KEY_BYTES).digest()
    return EndpointKey(urlsafe_b64encode(digest).decode())


class WatchedEndpoint(msgspec.Struct, frozen=True):
    """An endpoint that this instance probes.

    Attributes
    ----------
    first : bool
        This instance is the first of its watchers: the one that reads its cache
        events and tells the others of its load.
    """

    endpoint: EndpointId
    address: str
    kind: EndpointKind
    is_primary: bool


class WatchEndpoints(Effect, frozen=True):
    """Probe exactly these endpoints from now on."""

    endpoints: tuple[WatchedEndpoint, ...]


class FetchCacheSnapshot(Effect, frozen=True):
    """Read an engine's whole prefix cache, as what is known of it has a gap."""

    endpoint: EndpointId


class PublishForZone(Message, frozen=True):
    """Speak for the availability zone now; posted every second to whom it falls.

    Plug-ins then publish to the whole fleet what the other zones should know of
    this one.
    """

    availability_zone: AvailabilityZoneId


PREFILL_UNIT_TOKENS = 256
KV_SHARE_SCALE = 65_535


class EndpointProfile(PeerValue, msgspec.Struct, frozen=True):
    """What seldom changes of an endpoint.

    Attributes
    ----------
    prefill_rate : int
        Prompt tokens a second.
    """

    incarnation: Incarnation
    kv_capacity: int
    prefill_rate: int
    models: tuple[ModelId, ...]
    fencing: FencingMode
    role: str


class EndpointLoad(PeerValue, msgspec.Struct, frozen=True):
    """What always changes of an endpoint, in few bytes.

    Attributes
    ----------
    life : int
        Last 32 bits of its incarnation.
    lag_ms : int
        Age of the report when the value was written.
    prefill_units : int
        Prompt tokens that wait, in `PREFILL_UNIT` each.
    kv_share : int
        Used KV memory in parts of `KV_WHOLE` of the capacity.
    """

    incarnation_bits: int
    sequence: int
    lag_ms: int
    running: int
    waiting: int
    prefill_units: int
    kv_share: int
    draining: bool


class EndpointProbeFailure(PeerValue, msgspec.Struct, frozen=True):
    """An endpoint does not answer the writer's probes.

    Attributes
    ----------
    age_ms : int
        Time since the newest failed probe when the value was written.
    """

    incarnation: Incarnation
    age_ms: int


class EndpointProfileReceived(Message, frozen=True):
    """A peer has told an endpoint's profile."""

    key: EndpointKey
    profile: EndpointProfile
    origin: Origin


class EndpointLoadReceived(Message, frozen=True):
    """A peer has told an endpoint's load."""

    key: EndpointKey
    load: EndpointLoad
    origin: Origin


class EndpointProbeFailureReceived(Message, frozen=True):
    """A peer can't reach an endpoint."""

    key: EndpointKey
    failure: EndpointProbeFailure
    origin: Origin
