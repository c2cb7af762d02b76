"""Events of what an instance believes of the configuration and the endpoints."""

from ..events import Event, Level
from ..instruments import Instrument, Kind

RANGE = 2100

TABLE_TAKEN = Event(
    2101,
    "table-taken",
    Level.INFO,
    "configuration {version} in force, told by {source}: {changes}",
    "Calls that arrive from now on are routed by it. `changes` counts what it adds "
    "(+), removes (-) and changes (~), against the one in force `before`; `age_ms` "
    "is the time since the store's last answer, absent before the first.",
    "None.",
)
ENDPOINT_LISTED = Event(
    2102,
    "endpoint-listed",
    Level.INFO,
    "endpoint {endpoint} of service {service} at {address} listed, told by {source}",
    "It gets new work from now on.",
    "None.",
)
ENDPOINT_DRAINING = Event(
    2103,
    "endpoint-draining",
    Level.INFO,
    "endpoint {endpoint} of service {service} is draining, told by {source}",
    "It gets no new work; what runs there goes on.",
    "None.",
)
ENDPOINT_GONE = Event(
    2104,
    "endpoint-gone",
    Level.INFO,
    "endpoint {endpoint} of service {service} is gone, {before} before, told by "
    "{source}",
    "It gets no new work, and its address may be another's soon. One that was ready "
    "left without a word: it was lost, or cut off from the store.",
    "None.",
)
ENDPOINT_HELD = Event(
    2105,
    "endpoint-held",
    Level.WARNING,
    "endpoint {endpoint} of service {service} vanished from the list around an "
    "outage of the store and stays in use for now, told by {source}",
    "Entries expire wrongly while the store is down. It is treated as gone if it is "
    "still missing some seconds after the store's return.",
    "None.",
)
ENTRY_UNREADABLE = Event(
    2106,
    "entry-unreadable",
    Level.ERROR,
    "version {version} of row {row}, told by {source}, cannot be read: {why}",
    "A configuration before it stays in force. An endpoint gets no new work until its "
    "next row that can be read, which is told as `endpoint-listed`; what runs there "
    "goes on. Further rows of the kind are not told until then.",
    "See who wrote it, and that all instances run a version that knows its form.",
)
STORE_LOST = Event(
    2107,
    "store-lost",
    Level.WARNING,
    "the store does not tell the {table}: {why}",
    "What is known stays in use; peers may still tell newer words. `age_ms` is the "
    "time since its last answer, absent if there was none.",
    "See to the platform's store.",
)
STORE_REGAINED = Event(
    2108,
    "store-regained",
    Level.INFO,
    "the store tells the {table} again after {duration_ms} ms; {failed_calls} calls "
    "failed meanwhile, the last by: {why}",
    "Changes are followed again. `longest_ms` is the time that the longest of the "
    "failed calls took, `answered_in_ms` that of the call that was answered.",
    "None.",
)
FEED_CUT = Event(
    2109,
    "feed-cut",
    Level.WARNING,
    "the store no longer has the history of the {table} after version {version}",
    "The rows are read whole, and the differences are worked out.",
    "None.",
)
WHOLE_READ = Event(
    2110,
    "whole-read",
    Level.INFO,
    "the {table} was read whole as of version {version}: {count} rows",
    "Changes are followed from there.",
    "None.",
)
STALE_READ = Event(
    2111,
    "stale-read",
    Level.WARNING,
    "a read of the {table} as of version {version} is older than what is known, "
    "{known}",
    "It changes nothing, and the rows are read again.",
    "None, unless it lasts.",
)
STORE_RESTORED = Event(
    2113,
    "store-restored",
    Level.WARNING,
    "the store was restored from a copy: era {era} after {before}, version {version}, "
    "known up to {known}",
    "Rows written after the copy are lost, and their versions are given out again. The "
    "tables are read whole; what is known stays in force until it is replaced.",
    "Check that the restore was meant, and that the configuration in force is the one "
    "that was accepted last.",
)
TABLE_KEPT = Event(
    2114,
    "table-kept",
    Level.WARNING,
    "configuration {version}, told by {source}, is not applied ({why}): {kept} stays "
    "in force",
    "A store that was restored holds an older configuration until the newest one is "
    "written again. Instances that start meanwhile get the newest one from peers.",
    "Write the configuration that was accepted last again, under a higher number.",
)
FOLLOWER_FAULT = Event(
    2112,
    "follower-fault",
    Level.ERROR,
    "following the {table} met a fault of this program: {why}",
    "The rows are read whole again.",
    "Report the fault with its trace.",
)
EVACUATION_STARTED = Event(
    2115,
    "evacuation-started",
    Level.WARNING,
    "zone {zone} is evacuated, told by {source} as of version {version}, {age_ms} ms "
    "after its answer",
    "No request is sent to the endpoints of the zone; streams that run there go on to "
    "their end. The time is since the answer of the store, or since a peer passed the "
    "news on.",
    "None, if the evacuation was meant; else remove the row from the store.",
)
EVACUATION_ENDED = Event(
    2116,
    "evacuation-ended",
    Level.WARNING,
    "zone {zone} is no longer evacuated, told by {source} as of version {version}, "
    "{age_ms} ms after its answer",
    "The endpoints of the zone are used again.",
    "None, if the end was meant. After a restore of the store, write the row again if "
    "the zone is still to be evacuated.",
)
EVACUATION_BOUND_EXCEEDED = Event(
    2117,
    "evacuation-bound-exceeded",
    Level.WARNING,
    "evacuations must take effect within {bound_ms} ms, but may take {longest_ms} ms",
    "If all connections to the store fall silent just before a zone is evacuated, "
    "requests may reach the zone for longer than the deployment allows.",
    "Allow more time in the settings, or wait longer before a zone is shut down.",
)
STORE_ERA = Instrument(
    "mimosafork.store.era",
    Kind.OBSERVABLE_GAUGE,
    "{restore}",
    "Era that the store last stated; rises each time it is restored from a copy.",
)
ENDPOINTS_HELD = Instrument(
    "mimosafork.endpoints.held",
    Kind.OBSERVABLE_GAUGE,
    "{endpoint}",
    "Endpoints that stay in use although the store does not list them, around an "
    "outage or a restore.",
)
ZONES_EVACUATED = Instrument(
    "mimosafork.zones.evacuated",
    Kind.OBSERVABLE_GAUGE,
    "{zone}",
    "Zones that are evacuated, as this instance knows.",
)
ENDPOINTS_EVACUATED = Instrument(
    "mimosafork.endpoints.evacuated",
    Kind.OBSERVABLE_GAUGE,
    "{endpoint}",
    "Listed endpoints that get no requests, as their zone is evacuated.",
)
