"""Events and metrics of leases, orders to endpoints and recovery."""

from ..events import Event, Level
from ..instruments import Instrument, Kind

RANGE = 1700

LEASE_ACQUIRED = Event(
    1701,
    "lease-acquired",
    Level.INFO,
    "lease {lease} acquired with fencing number {fencing}",
    "This instance does the duty until it lets go or fails to renew.",
    "None.",
)
LEASE_LOST = Event(
    1702,
    "lease-lost",
    Level.WARNING,
    "lease {lease} with fencing number {fencing} was not renewed in time",
    "Another instance may hold it; this one sends no further orders.",
    "None, unless it happens often: see to the table service and to pauses.",
)
ORDER_FAILED = Event(
    1703,
    "order-failed",
    Level.WARNING,
    "order {order} to endpoint {endpoint} failed: {why}",
    "The endpoint's state is read back and the order repeated where needed.",
    "Look at the endpoint if it happens again.",
)
HOLDING_FREED = Event(
    1704,
    "holding-freed",
    Level.INFO,
    "{kind} {holding} of {owner} freed on endpoint {endpoint}: {why}",
    "Memory that its owner can no longer free was given back.",
    "None.",
)
LEASE_RELEASE_UNKNOWN = Event(
    1710,
    "lease-release-unknown",
    Level.INFO,
    "whether lease {lease} was released is unknown: {why}",
    "The next holder waits until it expires.",
    "None.",
)

LEASE_RELEASED = Event(
    1711,
    "lease-released",
    Level.INFO,
    "lease {lease} with fencing number {fencing} released",
    "This instance gives the duty up, so that another need not wait for the expiry.",
    "None.",
)

ORDERS = Instrument(
    "mimosafork.orders",
    Kind.COUNTER,
    "{order}",
    "Orders sent to endpoints, by kind and result.",
    ("kind", "result"),
)
LEASES = Instrument(
    "mimosafork.leases",
    Kind.OBSERVABLE_GAUGE,
    "{lease}",
    "Leases that this instance holds.",
)
