"""Events and metrics of the accepted configuration."""

from ..events import Event, Level
from ..instruments import Instrument, Kind

RANGE = 1800

CONFIGURATION_TAKEN = Event(
    1801,
    "configuration-taken",
    Level.INFO,
    "revision {revision} with digest {digest} in force, received from {source}",
    "Requests that arrive from now on are served by it.",
    "None.",
)
CONFIGURATION_IGNORED = Event(
    1802,
    "configuration-ignored",
    Level.DEBUG,
    "revision {revision} from {source} ignored, {current} is in force",
    "An older revision arrived late; an accepted configuration never reverts.",
    "None.",
)
CONFIGURATION_UNREADABLE = Event(
    1803,
    "configuration-unreadable",
    Level.ERROR,
    "revision {revision} from {source} cannot be read: {why}",
    "The revision that is in force stays so.",
    "See that all instances run a version that knows the manifest's sections.",
)
CONFIGURATION_FORKED = Event(
    1804,
    "configuration-forked",
    Level.ERROR,
    "revision {revision} from {source} has another digest, {digest}",
    "The store was put back to an older state and went on from there. What is in "
    "force here stays so.",
    "Apply the reviewed manifest with --above and the highest revision in force.",
)
CONFIGURATION_UNREACHABLE = Event(
    1805,
    "configuration-unreachable",
    Level.WARNING,
    "newer configurations cannot be read, revision {revision} stays in force: {why}",
    "Peers that reach the store still pass on newer ones.",
    "See to the platform's table service.",
)

CONFIGURATION_REVISION = Instrument(
    "mimosafork.configuration.revision",
    Kind.OBSERVABLE_GAUGE,
    "{revision}",
    "Revision of the configuration that is in force here.",
)
