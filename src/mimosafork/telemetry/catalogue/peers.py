"""Events and metrics of the other entry instances."""

from ..events import Event, Level
from ..instruments import Instrument, Kind

RANGE = 1500

PEER_JOINED = Event(
    1501,
    "peer-joined",
    Level.INFO,
    "peer {peer} takes part",
    "It takes part in the exchange of membership, load and configuration.",
    "None.",
)
PEER_LOST = Event(
    1502,
    "peer-lost",
    Level.WARNING,
    "peer {peer} has not been heard of for a while",
    "It crashed or is cut off; which of the two cannot be known from here.",
    "See whether its instance is being replaced.",
)
PEER_LEFT = Event(
    1503,
    "peer-left",
    Level.INFO,
    "peer {peer} is leaving by a graceful shutdown",
    "It takes no duties any more and ends once its requests have.",
    "None.",
)
PEER_REVISION_DIFFERS = Event(
    1510,
    "peer-revision-differs",
    Level.ERROR,
    "peer {peer} has another text of revision {revision}",
    "The table service gives each revision to one text, so it was put back to an "
    "older state. No instance can say which text is right.",
    "Apply the manifest that should be in force once more.",
)
INCARNATION_SUPERSEDED = Event(
    1511,
    "incarnation-superseded",
    Level.ERROR,
    "peers know incarnation {incarnation} of {instance}, later than this process",
    "Its id was given to another process, or it was replaced while it was paused.",
    "See that each process has an id of its own; stop this one.",
)
PEER_ENTRY_REFUSED = Event(
    1512,
    "peer-entry-refused",
    Level.WARNING,
    "entry {entry} of {peer} left out: {why}",
    "The other entries are used.",
    "See that all instances run versions that understand each other.",
)

PEERS = Instrument(
    "mimosafork.peers",
    Kind.OBSERVABLE_GAUGE,
    "{instance}",
    "Other entry instances that this one knows, by state.",
    ("state",),
)
PEER_TRAFFIC = Instrument(
    "mimosafork.peers.traffic",
    Kind.OBSERVABLE_COUNTER,
    "By",
    "Bytes of the messages exchanged with other entry instances, without what the "
    "transport puts around them.",
    ("direction",),
)
