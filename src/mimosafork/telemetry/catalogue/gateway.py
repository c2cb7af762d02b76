"""Events of calls that are passed on as they are."""

from ..events import Event, Importance, Level

RANGE = 2000

GATEWAY_STARTING = Event(
    2001,
    "gateway-starting",
    Level.INFO,
    "instance {instance} of {zone} starts",
    "The process begins to listen; it is not ready before it knows a configuration.",
    "None.",
)
GATEWAY_READY = Event(
    2002,
    "gateway-ready",
    Level.INFO,
    "ready after {after_ms} ms with configuration {version}, {endpoints} endpoints",
    "The balancer may send callers.",
    "None.",
)
GATEWAY_STOPPING = Event(
    2003,
    "gateway-stopping",
    Level.INFO,
    "asked to stop with {open} calls open",
    "It is no longer ready, goes on serving, and ends when its calls have.",
    "None.",
)
GATEWAY_STOPPED = Event(
    2004,
    "gateway-stopped",
    Level.INFO,
    "stopped after {after_ms} ms with {cut} calls cut",
    "A call that was cut had not ended within the time for a planned stop.",
    "If calls were cut, look for their lines.",
)
SETTINGS_TAKEN = Event(
    2005,
    "settings-taken",
    Level.INFO,
    "instance {instance} has taken its changed settings",
    "Bounds and log level are in force; addresses stay until the next start.",
    "None.",
)
SETTINGS_REFUSED = Event(
    2006,
    "settings-refused",
    Level.ERROR,
    "changed settings were not taken: {why}",
    "The settings that were in force stay so.",
    "Mend the file and send the signal again.",
)
METRICS_NOT_SERVED = Event(
    2007,
    "metrics-not-served",
    Level.ERROR,
    "the metrics page can't be served at {address}: {why}",
    "Calls are served all the same.",
    "See what else listens there, or set another address.",
)
CALL_ENDED = Event(
    2010,
    "call-ended",
    Level.INFO,
    "call {call} served with {status}",
    "The caller has got an endpoint's whole answer. The fields say when and by what "
    "it was placed, and the times of its parts.",
    "None.",
    Importance.SERVED,
)
CALL_NOT_SERVED = Event(
    2011,
    "call-not-served",
    Level.WARNING,
    "call {call} on {route} ended as {outcome} with {status}: {why} by {rule}, after"
    " {total_ms} ms and {attempts} attempts",
    "The caller got no whole answer; the lines of its attempts say why.",
    "See docs/OPERATIONS.md for the way from a call's id to its cause.",
    Importance.CALL,
)
CALL_REFUSED = Event(
    2012,
    "call-refused",
    Level.INFO,
    "call {call} to {host}{path} refused with {status}: {reason}, by version {version}",
    "No route or key of the configuration in force fits it.",
    "Compare with the accepted configuration if the caller should be served.",
    Importance.CALL,
)
MALFORMED_REQUEST = Event(
    2013,
    "malformed-request",
    Level.INFO,
    "a caller's bytes were refused with {status}: {why}",
    "Nothing of them reached an endpoint; the connection was closed.",
    "None.",
    Importance.CALL,
)
REQUEST_UNANSWERED = Event(
    2014,
    "request-unanswered",
    Level.WARNING,
    "a caller's connection was ended, {why}, with {read} bytes read and {waiting}"
    " waiting that got no answer, {unsent} of an answer unsent; whole request: {whole}",
    "This instance ended it, {promised_ms} ms of silence having been promised and "
    "{idle_ms} ms passed. With waiting bytes alone, a request crossed the close: its "
    "caller knows that it was not read. A caller whose whole request was read can't "
    "tell whether it ran. Answers that were broken off have their call's own line.",
    "None for one now and then that crossed a close. Report any with a whole request.",
    Importance.CALL,
)
INTAKE_FAULT = Event(
    2015,
    "intake-fault",
    Level.ERROR,
    "a fault in the code while a caller's request was taken: {fault}",
    "The caller was told 503 where its request has surely not run, else 500, unless it "
    "had its answer already; its connection was closed unless it was told 503.",
    "Report it with the trace that follows.",
)
ATTEMPT_FAILED = Event(
    2020,
    "attempt-failed",
    Level.WARNING,
    "call {call} at endpoint {endpoint}: {kind}, {exposure}, after"
    " {after_ms} ms and {events} events; {then}",
    "The attempt brought no whole answer; what follows depends on its exposure.",
    "If an endpoint's attempts fail often, see whether it was ejected.",
    Importance.CALL,
)
ATTEMPT_OUT_OF_TIME = Event(
    2021,
    "attempt-out-of-time",
    Level.INFO,
    "call {call} at endpoint {endpoint}: answered {status} as the call's time was"
    " over, after {after_ms} ms and {events} events; {then}",
    "The endpoint worked for as long as the call allowed. That is no fault of its own,"
    " unless it took far longer than expected.",
    "None. If many come, see what took their time: `waited_ms`, or the endpoint.",
    Importance.CALL,
)
ATTEMPT_SENT = Event(
    2024,
    "attempt-sent",
    Level.DEBUG,
    "call {call} is sent to endpoint {endpoint} as attempt {attempt}",
    "The line is written before the first byte; those of failed attempts and of the end"
    " of the call follow, unless the process is killed.",
    "None.",
    Importance.CALL,
)
ATTEMPT_RESTORED = Event(
    2022,
    "attempt-restored",
    Level.INFO,
    "call {call} goes on at endpoint {endpoint}, which was silent, after {after_ms} ms"
    " and {events} events",
    "Another endpoint was tried beside it and did not answer before. Nothing is lost.",
    "None. If many come, see why endpoints pause, and why others refuse.",
    Importance.CALL,
)
RESPONSE_SKIPPED = Event(
    2023,
    "response-skipped",
    Level.WARNING,
    "a response of endpoint {endpoint} on connection {connection} does not belong to"
    " the awaited call {call}",
    "The endpoint repeated a response, or sent one to another request, after"
    " `earlier_calls` calls on the connection. It is skipped, the awaited one may"
    " follow, and the connection is not reused. Without `call`, an order waits.",
    "If the same endpoint comes again and again, look at it.",
    Importance.CALL,
)
ENDPOINT_LEFT_ALONE = Event(
    2030,
    "endpoint-left-alone",
    Level.WARNING,
    "endpoint {endpoint} of {service} is left alone for {for_ms} ms: {why}",
    "It could not be connected to, or is no longer at its address. It gets no new "
    "work here meanwhile.",
    "None, unless the same one comes again and again.",
)
ENDPOINT_SUSPECTED = Event(
    2031,
    "endpoint-suspected",
    Level.WARNING,
    "endpoint {endpoint} of {service} is taken last for {for_ms} ms: {why}",
    "An answer broke off or made no sense. It gets work only where no other can.",
    "If the same one comes again and again, look at it.",
)
ENDPOINT_BACK = Event(
    2032,
    "endpoint-back",
    Level.INFO,
    "endpoint {endpoint} of {service} answers again after {after_ms} ms",
    "It is taken like any other from now on.",
    "None.",
)
ENDPOINT_OUT = Event(
    2033,
    "endpoint-out",
    Level.INFO,
    "endpoint {endpoint} of {service} gets no new work from here",
    "The list or a peer says that it is leaving or gone. Without a line of the list "
    "just before, it was a peer.",
    "None.",
)
CONTENT_QUARANTINED = Event(
    2034,
    "content-quarantined",
    Level.WARNING,
    "content {content} broke off at {count} endpoints, told by {source}",
    "Calls with this body or prompt part are refused for `for_s`, so that it brings no "
    "further endpoint down: those of `accounts`, or of all accounts if two are named. "
    "`level` counts the earlier times.",
    "See what its callers send; the lines of its attempts have the same `content`, or "
    "it among their `parts`. `mimosafork quarantine lift` ends it early.",
)
CONTENT_CLEARED = Event(
    2035,
    "content-cleared",
    Level.INFO,
    "content {content} is no longer kept from endpoints, told by {source}",
    "A call with it has run well, the crashes had another cause, or an operator has "
    "lifted it.",
    "None.",
)
FREEZE_NOTICED = Event(
    2040,
    "freeze-noticed",
    Level.WARNING,
    "nothing ran here for {late_ms} ms, {suspended_ms} ms of them suspended",
    "Streams paused for so long, and what was known of peers and the store is older.",
    "If it comes often, look at the machine: its processor share or its host.",
)
MEMORY_NOT_RESERVED = Event(
    2050,
    "memory-not-reserved",
    Level.INFO,
    "{tokens} tokens at endpoint {endpoint} were not reserved under {reservation}:"
    " {why}, after {after_ms} ms",
    "A prompt larger than one engine's memory needs them. Before it is sent, all that "
    "was reserved for it is released, or the order is repeated where it got no answer; "
    "while it runs, the engine may cut it off.",
    "If it is often no-memory, the engines are full; if lost, look at the network.",
)
