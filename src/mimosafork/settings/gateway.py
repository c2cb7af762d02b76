"""Settings of a gateway instance: what ``mimosafork gateway`` reads."""

from datetime import timedelta
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field

from ..ids import AvailabilityZoneId, RegionId
from .checking import checked
from .ini import IniFile, parse_ini, read_ini
from .sections import NAME, InstanceSection, Positive, Section
from .types import Address, Duration, NameList

Port = Annotated[int, Field(ge=1, le=65535)]
ZoneName = Annotated[AvailabilityZoneId, Field(pattern=NAME, max_length=64)]
RegionName = Annotated[RegionId, Field(pattern=NAME, max_length=64)]


class ListenSection(Section):
    """Addresses to listen on."""

    front: Address = Field(description="callers' connections")
    ready: Address = Field(description="the balancer's question whether to send")
    metrics: Address | None = Field(
        default=None, description="the metrics page, under /metrics; none if absent"
    )


class StoreSection(Section):
    """The platform's store."""

    address: Address = Field(description="address of the store")


class GossipSection(Section):
    """What entry instances tell each other."""

    first_port: Port = Field(description="port for datagrams between instances")
    seeds: NameList = Field(
        default=(), description="addresses of some instances, which may be stale"
    )


class ForwardingSection(Section):
    """Calls that peers without a way to endpoints send here."""

    port: Port | None = Field(
        default=None, description="port for them; the one after the gossip's if absent"
    )
    max_calls: Annotated[int, Field(ge=0)] = Field(
        default=256, description="most of them that run here at the same time"
    )


class BoundsSection(Section):
    """What the deployment promises and asks."""

    grace: Positive = Field(
        default=timedelta(seconds=8),
        description="time from a planned stop to the end of the process",
    )
    retry_ratio: Annotated[float, Field(ge=0)] = Field(
        default=0.2, description="repeats of all instances a request, in a window"
    )
    retry_slack: Annotated[float, Field(ge=0)] = Field(
        default=100.0, description="repeats of all instances beside that, in a window"
    )
    retry_window: Positive = Field(
        default=timedelta(seconds=10), description="length of the window"
    )
    longest_hold: Duration = Field(
        default=timedelta(seconds=20),
        description="longest time for which memory is reserved at an engine",
    )
    evacuation: Positive | None = Field(
        default=None,
        description="time from the operator's row to the last request that reaches an "
        "evacuated zone; a bound that can't be kept is logged",
    )
    cold_factor: Annotated[float, Field(ge=0)] | None = Field(
        default=None,
        description="most requests of all instances that a cold endpoint gets in any "
        "second, as a multiple of the rate that the configuration states for its "
        "service; if absent, endpoints get as many as warm ones",
    )
    cold_slack: Annotated[float, Field(ge=0)] = Field(
        default=0.0, description="requests that a cold endpoint may get beyond that"
    )


class SchedulingSection(Section):
    """Which calls are served first while there is not enough capacity."""

    contracts: NameList = Field(
        default=(),
        description="what the platform asks of the deployment, as a list of words; "
        "unknown words change nothing",
    )


class GatewayLoggingSection(Section):
    """Log output."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = Field(
        default="INFO", description="lowest level that is written"
    )
    format: Literal["text", "json"] = Field(
        default="json", description="form of a line on standard output"
    )
    lines_a_second: Annotated[float, Field(gt=0)] = Field(
        default=50.0, description="lines that are written in the long run"
    )
    burst: Annotated[float, Field(ge=10)] = Field(
        default=200.0, description="lines that may come at once after a quiet time"
    )


class GatewaySettings(Section):
    """Settings of a gateway instance, one attribute a section."""

    instance: InstanceSection
    listen: ListenSection
    store: StoreSection
    gossip: GossipSection
    forwarding: ForwardingSection = ForwardingSection()
    bounds: BoundsSection = BoundsSection()
    scheduling: SchedulingSection = SchedulingSection()
    zones: dict[ZoneName, RegionName] = Field(
        default_factory=dict,
        title="ZONE = REGION",
        description="Regions of availability zones. Calls that are restricted to "
        "regions are sent to no endpoint of a zone that has no line here.",
    )
    logging: GatewayLoggingSection = GatewayLoggingSection()

    @property
    def forwarding_port(self) -> int:
        """Port on which peers forward calls; 0 lets the system choose."""
        if self.forwarding.port is not None:
            return self.forwarding.port
        return self.gossip.first_port and self.gossip.first_port + 1


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Read and check the settings of a gateway instance.

    Raises
    ------
    SettingsError
        With every fault: file, section, key and why.
    """
    return gateway_settings_of(read_ini(path))


def parse_gateway_settings(text: str, name: str = "settings") -> GatewaySettings:
    """Check settings given as text.

    Raises
    ------
    SettingsError
    """
    return gateway_settings_of(parse_ini(text, name))


def gateway_settings_of(file: IniFile) -> GatewaySettings:
    """Check what an INI file says.

    Raises
    ------
    SettingsError
    """
    return checked(file, GatewaySettings)
