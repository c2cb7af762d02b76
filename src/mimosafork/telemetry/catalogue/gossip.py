"""Events of the gossip among entry instances."""

from ..events import Event, Level

RANGE = 2200

GOSSIP_PEER_UP = Event(
    2201,
    "gossip-peer-up",
    Level.INFO,
    "peer {peer} in {zone} is heard",
    "Its load, and what it knows of endpoints and requests, count from now on.",
    "None.",
)
GOSSIP_PEER_DOWN = Event(
    2202,
    "gossip-peer-down",
    Level.WARNING,
    "peer {peer} in {zone} is silent, its load is forgotten",
    "It ended, hangs or is cut off; which of them can't be known from here. It is "
    "still called now and then.",
    "See whether its instance is being replaced.",
)
GOSSIP_PEER_RESTARTED = Event(
    2203,
    "gossip-peer-restarted",
    Level.INFO,
    "peer {peer} in {zone} has begun a new life",
    "What its earlier life said is forgotten.",
    "None.",
)
GOSSIP_DATAGRAM_REFUSED = Event(
    2204,
    "gossip-datagram-refused",
    Level.WARNING,
    "a datagram from {address} is passed over: {reason}; {count} so far",
    "It was cut, of another fleet or in another format. Shown once in ten seconds.",
    "If it goes on, see who sends to this port.",
)
GOSSIP_PULLED = Event(
    2205,
    "gossip-pulled",
    Level.INFO,
    "{matter} of version {version} was pulled from {peer}",
    "The peer had it before the store told it here.",
    "None.",
)
GOSSIP_PULL_FAILED = Event(
    2206,
    "gossip-pull-failed",
    Level.WARNING,
    "no peer has handed over {matter} of version {version}",
    "It is tried again; the store brings it too, once it answers.",
    "See whether connections between the instances are blocked.",
)
GOSSIP_STORE_UNREACHED = Event(
    2207,
    "gossip-store-unreached",
    Level.INFO,
    "peers can't be looked up in the store: {error}",
    "Peers are found by the seeds and by each other meanwhile.",
    "None.",
)
GOSSIP_FAULT = Event(
    2208,
    "gossip-fault",
    Level.ERROR,
    "looking for peers or pulling was ended by a fault in the code",
    "It begins again after a second.",
    "Report it with the trace that follows.",
)
