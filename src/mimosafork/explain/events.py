"""Codes of the events that explanations know."""

from ..telemetry.catalogue import (
    cold_endpoints,
    directory,
    gateway,
    gossip,
    lifecycle,
)

SERVED = gateway.CALL_ENDED.code
NOT_SERVED = gateway.CALL_NOT_SERVED.code
REFUSED = gateway.CALL_REFUSED.code
ATTEMPT_FAILURES = frozenset(
    {gateway.ATTEMPT_FAILED.code, gateway.ATTEMPT_OUT_OF_TIME.code}
)
STARTING = gateway.GATEWAY_STARTING.code
FREEZE = gateway.FREEZE_NOTICED.code
DRAINING = directory.ENDPOINT_DRAINING.code
GONE = directory.ENDPOINT_GONE.code
HELD = directory.ENDPOINT_HELD.code
TABLE_TAKEN = directory.TABLE_TAKEN.code
TABLE_KEPT = directory.TABLE_KEPT.code
STORE_RESTORED = directory.STORE_RESTORED.code
UNREADABLE = directory.ENTRY_UNREADABLE.code
EVACUATION_STARTED = directory.EVACUATION_STARTED.code
EVACUATION_ENDED = directory.EVACUATION_ENDED.code
EVACUATIONS = frozenset({EVACUATION_STARTED, EVACUATION_ENDED})
PULLED = gossip.GOSSIP_PULLED.code

COLD_BOUNDS = frozenset(
    {cold_endpoints.COLD_BOUND_ENFORCED.code, cold_endpoints.COLD_BOUND_LIFTED.code}
)
"""Lines of which endpoints may be cold; each names several."""

CALL_EVENTS = ATTEMPT_FAILURES | {
    SERVED,
    NOT_SERVED,
    REFUSED,
    gateway.MALFORMED_REQUEST.code,
}
"""Lines of calls; all others tell of beliefs, starts and stops."""

GAPS = frozenset(
    {lifecycle.LOG_RECORDS_DROPPED.code, lifecycle.LOG_LINES_LEFT_OUT.code}
)
"""Lines that say that there should be others."""

SURROUNDINGS = (
    GAPS
    | EVACUATIONS
    | {
        FREEZE,
        gateway.CONTENT_QUARANTINED.code,
        gateway.CONTENT_CLEARED.code,
        TABLE_TAKEN,
        directory.STORE_LOST.code,
        directory.STORE_REGAINED.code,
        STORE_RESTORED,
        TABLE_KEPT,
        gossip.GOSSIP_PEER_DOWN.code,
        gossip.GOSSIP_PEER_UP.code,
        gossip.GOSSIP_PEER_RESTARTED.code,
        STARTING,
        gateway.GATEWAY_STOPPING.code,
        gateway.GATEWAY_STOPPED.code,
        gateway.SETTINGS_TAKEN.code,
    }
)
"""What may matter to any call of its instance."""
