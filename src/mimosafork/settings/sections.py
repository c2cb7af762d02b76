"""What the settings of all programs have in common."""

from datetime import timedelta
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from ..ids import AvailabilityZoneId, InstanceId
from .types import Duration

NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]*$"

Positive = Annotated[Duration, Field(gt=timedelta(0))]
Name = Annotated[str, Field(pattern=NAME, max_length=64)]
Count = Annotated[int, Field(ge=1)]


class Section(BaseModel):
    """Base of all sections: a key that nobody knows is a fault."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class InstanceSection(Section):
    """Who this entry instance is."""

    id: InstanceId = Field(
        pattern=NAME, max_length=64, description="unique name of this instance"
    )
    availability_zone: AvailabilityZoneId = Field(
        pattern=NAME, max_length=64, description="availability zone that it runs in"
    )
    region: Name = Field(description="region of the availability zone")
    incarnation: Annotated[int, Field(ge=1)] | None = Field(
        default=None,
        description="number of this life; taken from wall time if absent, in ms",
    )
