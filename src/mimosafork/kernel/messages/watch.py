"""Messages about probing endpoints and publishing the results."""

from base64 import urlsafe_b64encode
from hashlib import blake2b
from typing import NewType

import msgspec

from ...ids import AvailabilityZoneId, EndpointId, Incarnation, ModelId
from .base import Effect, Message
from .fleet import EndpointKind, FencingMode
from .peers import Origin, PeerValue

EndpointKey = NewType("EndpointKey", str)
"""Short key of an endpoint in peer messages, eight characters."""

KEY_BYTES = 6
"""With 600 endpoints, two share a key in one of some billion fleets."""


def endpoint_key(endpoint: EndpointId) -> EndpointKey:
    """Return the short key of an endpoint."""
    digest = blake2b(endpoint.encode(), digest_size=KEY_BYTES).digest()
    return EndpointKey(urlsafe_b64encode(digest).decode())


class WatchedEndpoint(msgspec.Struct, frozen=True):
    """An endpoint that this instance probes.

    Attributes
    ----------
    is_primary : bool
        This instance is the primary watcher: it reads the cache events and publishes
        the load.
    """

    endpoint: EndpointId
    address: str
    kind: EndpointKind
    is_primary: bool


class WatchEndpoints(Effect, frozen=True):
    """Replace the set of probed endpoints."""

    endpoints: tuple[WatchedEndpoint, ...]


class FetchCacheSnapshot(Effect, frozen=True):
    """Read an engine's complete prefix cache after missed events."""

    endpoint: EndpointId


class PublishForZone(Message, frozen=True):
    """Publish for the availability zone; posted every second on its publisher.

    Plug-ins then publish to the whole fleet what the other zones need to know about
    this one.
    """

    availability_zone: AvailabilityZoneId


PREFILL_UNIT_TOKENS = 256
KV_SHARE_SCALE = 65_535


class EndpointProfile(PeerValue, msgspec.Struct, frozen=True):
    """Rarely changing properties of an endpoint.

    Attributes
    ----------
    prefill_rate : int
        Prefill throughput in prompt tokens per second.
    """

    incarnation: Incarnation
    kv_capacity: int
    prefill_rate: int
    models: tuple[ModelId, ...]
    fencing: FencingMode
    role: str


class EndpointLoad(PeerValue, msgspec.Struct, frozen=True):
    """Frequently changing load of an endpoint, in a compact form.

    Attributes
    ----------
    incarnation_bits : int
        Low 32 bits of its incarnation.
    lag_ms : int
        Age of the report when the value was written.
    prefill_units : int
        Prompt tokens waiting for prefill, in units of `PREFILL_UNIT_TOKENS`.
    kv_share : int
        Used KV memory as a fraction of the capacity, scaled by `KV_SHARE_SCALE`.
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
    """An endpoint did not answer the writer's probes.

    Attributes
    ----------
    age_ms : int
        Time since the newest failed probe when the value was written.
    """

    incarnation: Incarnation
    age_ms: int


class EndpointProfileReceived(Message, frozen=True):
    """An endpoint's profile was received from a peer."""

    key: EndpointKey
    profile: EndpointProfile
    origin: Origin


class EndpointLoadReceived(Message, frozen=True):
    """An endpoint's load was received from a peer."""

    key: EndpointKey
    load: EndpointLoad
    origin: Origin


class EndpointProbeFailureReceived(Message, frozen=True):
    """A failed probe of an endpoint was reported by a peer."""

    key: EndpointKey
    failure: EndpointProbeFailure
    origin: Origin
