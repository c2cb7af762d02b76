"""Metrics of calls that are passed on as they are."""

from ..instruments import Instrument, Kind

RANGE = 2000

CALLS = Instrument(
    "mimosafork.calls",
    Kind.COUNTER,
    "{call}",
    "Calls that have ended, by status, outcome, and why; served ones have none.",
    ("service", "status", "outcome", "why"),
)
CALLS_REFUSED = Instrument(
    "mimosafork.calls.refused",
    Kind.COUNTER,
    "{call}",
    "Calls that no route or key fits, and bytes that are no request, by reason.",
    ("reason",),
)
CALL_ATTEMPTS = Instrument(
    "mimosafork.call.attempts",
    Kind.COUNTER,
    "{attempt}",
    "Attempts that were sent, and those of them that failed, by how.",
    ("service", "result"),
)
CALL_FIRST_PART_TIME = Instrument(
    "mimosafork.call.first_part.duration",
    Kind.HISTOGRAM,
    "s",
    "Time from a call's first byte to the first event or the answer, by the prompt's "
    "length.",
    ("service", "length"),
)
CALL_PAUSE = Instrument(
    "mimosafork.call.pause.duration",
    Kind.HISTOGRAM,
    "s",
    "Largest pause between two events of an answer.",
    ("service",),
)
CALL_WAIT_TIME = Instrument(
    "mimosafork.call.wait.duration",
    Kind.HISTOGRAM,
    "s",
    "Time from a call's first byte until it had a place.",
    ("service",),
)
CALLS_OPEN = Instrument(
    "mimosafork.calls.open",
    Kind.OBSERVABLE_GAUGE,
    "{call}",
    "Calls that have not ended.",
)
CALLS_WAITING = Instrument(
    "mimosafork.calls.waiting",
    Kind.OBSERVABLE_GAUGE,
    "{call}",
    "Calls that wait for a place.",
)
WORK_KNOWN = Instrument(
    "mimosafork.work.known",
    Kind.OBSERVABLE_GAUGE,
    "{call}",
    "Calls known to run, of this instance and as peers have told.",
    ("whose",),
)
MEMORY_RESERVED = Instrument(
    "mimosafork.memory.reserved",
    Kind.OBSERVABLE_GAUGE,
    "{token}",
    "Tokens reserved on engines by own calls: held as the engines said, or unsure"
    " while an order has no answer.",
    ("state",),
)
LOAD_AGE = Instrument(
    "mimosafork.load.age",
    Kind.OBSERVABLE_GAUGE,
    "s",
    "Age of the oldest word of a peer that counts.",
)
TABLE_AGE = Instrument(
    "mimosafork.table.age",
    Kind.OBSERVABLE_GAUGE,
    "s",
    "Time since the store last told the configuration and the listing.",
    ("table",),
)
TABLE_VERSION = Instrument(
    "mimosafork.table.version",
    Kind.OBSERVABLE_GAUGE,
    "{version}",
    "Version of the configuration in force.",
)
ENDPOINTS_KNOWN = Instrument(
    "mimosafork.endpoints.known",
    Kind.OBSERVABLE_GAUGE,
    "{endpoint}",
    "Endpoints that this instance knows, by service; usable ones get new work.",
    ("service", "state"),
)
REPEATS_LEFT = Instrument(
    "mimosafork.repeats.left",
    Kind.OBSERVABLE_GAUGE,
    "{repeat}",
    "Repeats for which this instance's part of the budget has room.",
    ("service",),
)
REPEATS_SENT = Instrument(
    "mimosafork.repeats.sent",
    Kind.OBSERVABLE_COUNTER,
    "{repeat}",
    "Repeats that this instance has counted against the budget.",
    ("service",),
)
REPEATS_SHARERS = Instrument(
    "mimosafork.repeats.sharers",
    Kind.OBSERVABLE_GAUGE,
    "{instance}",
    "Instances that share the slack of the budget of repeats; 0 without a part in it.",
)
PEERS_HEARD = Instrument(
    "mimosafork.peers.heard",
    Kind.OBSERVABLE_GAUGE,
    "{instance}",
    "Entry instances that are heard.",
)
CALLS_FORWARDED = Instrument(
    "mimosafork.calls.forwarded",
    Kind.OBSERVABLE_GAUGE,
    "{call}",
    "Open calls that a peer runs for this instance (out) or that it runs for one (in).",
)
SERVICES_UNREACHABLE = Instrument(
    "mimosafork.services.unreachable",
    Kind.OBSERVABLE_GAUGE,
    "{service}",
    "Services of which this instance reaches no endpoint.",
)
GOSSIP_SENT = Instrument(
    "mimosafork.gossip.sent",
    Kind.OBSERVABLE_COUNTER,
    "By",
    "Bytes of datagrams sent to peers.",
)
GOSSIP_DATAGRAMS = Instrument(
    "mimosafork.gossip.datagrams",
    Kind.OBSERVABLE_COUNTER,
    "{datagram}",
    "Datagrams, by what became of them.",
    ("result",),
)
ROWS_CALLS = Instrument(
    "mimosafork.rows.calls",
    Kind.OBSERVABLE_COUNTER,
    "{call}",
    "Calls of the platform's store, by whether an answer came.",
    ("result",),
)
CONNECTIONS_IDLE = Instrument(
    "mimosafork.connections.idle",
    Kind.OBSERVABLE_GAUGE,
    "{connection}",
    "Kept connections to endpoints that are not in use.",
)
RESPONSES_SKIPPED = Instrument(
    "mimosafork.responses.skipped",
    Kind.OBSERVABLE_COUNTER,
    "{response}",
    "Responses of endpoints that did not belong to the awaited call.",
)
CONNECTIONS_OPENED = Instrument(
    "mimosafork.connections.opened",
    Kind.OBSERVABLE_COUNTER,
    "{connection}",
    "Connections opened to endpoints and peers.",
)
MEMORY_PEAK = Instrument(
    "mimosafork.process.memory.peak",
    Kind.OBSERVABLE_GAUGE,
    "By",
    "Most memory that this process has held.",
)
