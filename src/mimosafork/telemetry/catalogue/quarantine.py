"""Events and metrics of requests suspected of crashing endpoints."""

from ..events import Event, Level

RANGE = 1900

REQUEST_SUSPECTED = Event(
    1901,
    "request-suspected",
    Level.WARNING,
    "body {digest} was in progress at a crash of {endpoint}, suspicion {suspicion}",
    "It may crash what runs it; its next attempt runs alone on an endpoint set for it.",
    "None.",
)
REQUEST_QUARANTINED = Event(
    1902,
    "request-quarantined",
    Level.WARNING,
    "body {digest} is refused after {crashes} crashes when it ran alone",
    "Sending it again gets a final answer at once, and no endpoint runs it.",
    "Tell the client account; keep the body for the engine's makers.",
)
REQUEST_CLEARED = Event(
    1903,
    "request-cleared",
    Level.INFO,
    "body {digest} is cleared",
    "It ran alone and nothing crashed.",
    "None.",
)
