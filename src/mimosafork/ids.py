"""Identifier types.

Each kind of identifier has its own type, so that the type checker rejects
an endpoint id where a request id is expected.
"""

from typing import NewType

RequestId = NewType("RequestId", str)
AccountId = NewType("AccountId", str)
EndpointId = NewType("EndpointId", str)
InstanceId = NewType("InstanceId", str)
AvailabilityZoneId = NewType("AvailabilityZoneId", str)
RegionId = NewType("RegionId", str)
ModelId = NewType("ModelId", str)
ServiceId = NewType("ServiceId", str)
AdapterId = NewType("AdapterId", str)
StreamId = NewType("StreamId", str)
ReservationId = NewType("ReservationId", str)
ClaimId = NewType("ClaimId", str)
ClaimKey = NewType("ClaimKey", str)
"""Key of a claim row: digest of the account and its idempotency key."""

ApplyId = NewType("ApplyId", str)
OrderId = NewType("OrderId", str)
Digest = NewType("Digest", str)
"""Lower-case hexadecimal digest."""

Incarnation = NewType("Incarnation", int)
"""Number of a process start of an instance or endpoint id; strictly increasing."""
Revision = NewType("Revision", int)
"""Number of an accepted configuration; strictly increasing."""
FencingNumber = NewType("FencingNumber", int)
AttemptNumber = NewType("AttemptNumber", int)
