"""Events and metrics of an instance's own life."""

from ..events import Event, Level
from ..instruments import Instrument, Kind

RANGE = 1000

INSTANCE_STARTING = Event(
    1001,
    "instance-starting",
    Level.INFO,
    "instance {instance} incarnation {incarnation} of {zone} starts, version {version}",
    "The process has read its settings and begins to start its parts.",
    "None.",
)
INSTANCE_LISTENING = Event(
    1002,
    "instance-listening",
    Level.INFO,
    "listening on {address}",
    "Calls are taken; the readiness check says whether they can be served.",
    "None.",
)
INSTANCE_DRAINING = Event(
    1003,
    "instance-draining",
    Level.INFO,
    "graceful shutdown begins with {streams} streams in progress",
    "The readiness check fails from now on; requests that still arrive are served "
    "until the balancer has noticed, and streams run to their end.",
    "None. A second SIGTERM ends what is left and tells each caller so.",
)
INSTANCE_STOPPED = Event(
    1004,
    "instance-stopped",
    Level.INFO,
    "stopped after {duration_s} s, {cut} streams were cut",
    "The process exits. A planned stop that was left to finish cuts none.",
    "If streams were cut, look for a second signal or a stop limit that is too short.",
)
TASK_FAILED = Event(
    1005,
    "task-failed",
    Level.ERROR,
    "task {task} could not handle a message",
    "A fault in the code; the message is lost, the task goes on with the next.",
    "Report it with the trace that follows.",
)
LOG_RECORDS_DROPPED = Event(
    1006,
    "log-records-dropped",
    Level.WARNING,
    "{count} log records were dropped, whoever reads them is too slow",
    "Logging never holds up requests: when its queue is full, records are dropped "
    "and counted.",
    "See why the log collector does not keep up.",
)
MESSAGE_UNKNOWN = Event(
    1007,
    "message-unknown",
    Level.ERROR,
    "task {task} was sent a {kind}, which it does not know",
    "A fault in the code; the message is lost.",
    "Report it.",
)
LOG_LINES_LEFT_OUT = Event(
    1008,
    "log-lines-left-out",
    Level.WARNING,
    "in {seconds} s {served} lines of served calls, {calls} of other calls and "
    "{others} others were left out",
    "There were more than the budget of lines allows. Lines of served calls go first, "
    "those of failures and refusals next.",
    "See what floods the instance; the metrics count what lines don't show.",
)
KERNEL_FAULT = Event(
    1009,
    "kernel-fault",
    Level.ERROR,
    "a fault in the code while a {message} was handled",
    "What was decided before and beside it is carried out. A request that could not "
    "go on for it was ended, and its caller told.",
    "Report it with the trace that follows.",
)
EFFECT_FAULT = Event(
    1010,
    "effect-fault",
    Level.ERROR,
    "a fault in the code while a {effect} was carried out",
    "All else that was decided is carried out. A request whose attempt could not be "
    "made for it was ended, and its caller told.",
    "Report it with the trace that follows.",
)
PROCESS_ENDED = Event(
    1011,
    "process-ended",
    Level.INFO,
    "the process ends as it was asked to",
    "The last line of a planned stop of a gateway.",
    "None.",
)
PROCESS_FAILED = Event(
    1012,
    "process-failed",
    Level.ERROR,
    "the process ends by {why}",
    "The last line of a gateway that ends unasked; its open calls are cut. A log that "
    "ends without this line and MF1011 is of a process that was killed, or that a "
    "fault in a C library ended: then standard error has its trace.",
    "Report it with the trace on standard error.",
)
THREAD_FAILED = Event(
    1013,
    "thread-failed",
    Level.ERROR,
    "thread {thread} ended by {why}",
    "The process goes on without it. Without the thread of signals it can't be stopped "
    "as planned, without that of logging it writes no lines.",
    "Report it with the trace on standard error, and replace the instance.",
)

STREAMS_IN_PROGRESS = Instrument(
    "mimosafork.streams.in_progress",
    Kind.OBSERVABLE_GAUGE,
    "{stream}",
    "Answers that are being relayed to callers.",
)
PROCESS_THREADS = Instrument(
    "mimosafork.process.threads",
    Kind.OBSERVABLE_GAUGE,
    "{thread}",
    "Threads of this process.",
)
LOG_DROPS = Instrument(
    "mimosafork.log.dropped",
    Kind.OBSERVABLE_COUNTER,
    "{record}",
    "Log records dropped because their reader was too slow.",
)
LOG_LEFT_OUT = Instrument(
    "mimosafork.log.left_out",
    Kind.OBSERVABLE_COUNTER,
    "{record}",
    "Log records left out because there were more than the budget of lines allows.",
)
