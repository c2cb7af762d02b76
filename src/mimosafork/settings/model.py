"""Settings of an entry instance: what ``mimosafork serve`` reads."""

from datetime import timedelta
from typing import Annotated, Literal

from pydantic import Field

from ..ids import Incarnation
from .sections import Count, InstanceSection, Name, Positive, Section
from .types import Address, Duration, NameList


class FrontSection(Section):
    """The HTTP server for callers."""

    address: Address = Field(description="address to listen on")
    advertised_address: Address | None = Field(
        default=None, description="address that others use, if not the one above"
    )
    worker_threads: Count = Field(
        default=32, description="threads that read and admit requests"
    )
    body_limit_bytes: Count = Field(
        default=32 * 1024 * 1024, description="longest request body"
    )
    balancer_lag: Duration = Field(
        default=timedelta(seconds=5),
        description="how long after a stop was asked for new requests still come",
    )
    shutdown_timeout: Positive = Field(
        default=timedelta(minutes=10),
        description="longest wait for running streams at a planned stop",
    )


class OperationsSection(Section):
    """The small server for health, readiness, metrics and status."""

    address: Address = Field(description="address to listen on")
    advertised_address: Address | None = Field(
        default=None, description="address that others use, if not the one above"
    )
    worker_threads: Count = Field(default=4, description="threads of this server")


class PeersSection(Section):
    """Traffic with other entry instances."""

    fleet: Name = Field(
        default="default",
        description="name of the deployment; instances of another one are refused",
    )
    address: Address = Field(description="gRPC address to listen on")
    advertised_address: Address | None = Field(
        default=None, description="address that peers use, if not the one above"
    )
    period: Positive = Field(
        default=timedelta(seconds=1), description="mean time between two exchanges"
    )
    timeout: Positive = Field(
        default=timedelta(seconds=1), description="longest wait for a peer's answer"
    )
    probe_period: Positive = Field(
        default=timedelta(milliseconds=500),
        description="mean time between two load probes of an endpoint",
    )
    probe_timeout: Positive = Field(
        default=timedelta(seconds=1), description="longest wait for a load report"
    )


class PlatformSection(Section):
    """The platform's services."""

    table: Address = Field(description="table service")
    objects: Address = Field(description="object store")
    instances: Address = Field(description="instance list")
    connect_timeout: Positive = Field(
        default=timedelta(seconds=1), description="longest wait for a connection"
    )
    answer_timeout: Positive = Field(
        default=timedelta(seconds=2), description="longest wait for an answer"
    )
    instances_period: Positive = Field(
        default=timedelta(seconds=1),
        description="mean time between two reads of the instance list",
    )
    configuration_period: Annotated[
        Duration, Field(gt=timedelta(0), le=timedelta(seconds=8))
    ] = Field(
        default=timedelta(seconds=3),
        description="mean time between two reads of the configuration's revision",
    )
    configuration_boot_wait: Duration = Field(
        default=timedelta(seconds=1),
        description="how long a starting instance waits for its peers' revision",
    )


class LimitsSection(Section):
    """What this instance holds at once."""

    streams: Count = Field(default=1000, description="streams held at once")
    waiting_requests: Count = Field(
        default=2000, description="requests that wait for an endpoint at once"
    )
    waiting_bytes: Count = Field(
        default=512 * 1024 * 1024, description="bodies held in memory at once"
    )


class RelaySection(Section):
    """The relay of streams from endpoints to callers."""

    stall_timeout: Positive = Field(
        default=timedelta(seconds=20),
        description="longest silence of an endpoint after its first token",
    )
    connect_timeout: Positive = Field(
        default=timedelta(seconds=1),
        description="longest wait for a connection to an endpoint",
    )
    keepalive_interval: Positive = Field(
        default=timedelta(seconds=15),
        description="longest silence towards the caller of a stream; then a comment "
        "keeps its connection open",
    )
    caller_buffer_bytes: Count = Field(
        default=64 * 1024,
        description="bytes kept for a caller that reads slowly; with more waiting, "
        "its endpoint is not read",
    )


class LoggingSection(Section):
    """Log output."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = Field(
        default="INFO", description="lowest level that is written"
    )
    format: Literal["text", "json"] = Field(
        default="text", description="form of a line on standard error"
    )


class PoliciesSection(Section):
    """The plug-ins that decide."""

    plugins: NameList | None = Field(
        default=None,
        description="names of the plug-ins in use; the product's own if absent",
    )
    seed: int | None = Field(
        default=None, description="seed of the random source; from the system if absent"
    )


class InstanceSettings(Section):
    """Settings of an entry instance, one attribute a section."""

    instance: InstanceSection
    front: FrontSection
    operations: OperationsSection
    peers: PeersSection
    platform: PlatformSection
    limits: LimitsSection = LimitsSection()
    relay: RelaySection = RelaySection()
    logging: LoggingSection = LoggingSection()
    policies: PoliciesSection = PoliciesSection()

    def incarnation(self, now_ms: int) -> Incarnation:
        """Return this life's number, or one made of the wall time `now_ms`."""
        return Incarnation(self.instance.incarnation or now_ms)
