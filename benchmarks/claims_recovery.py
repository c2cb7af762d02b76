"""How long failures are felt: ``python -m benchmarks.claims_recovery``.

Real processes; each figure is the time from the end of a cause, or from the cause
itself where it does not end, to the first call that is served as before.
"""

import sys
import time
from collections.abc import Callable
from statistics import median

from tests.functional.test_at_most_once import fault, heal, once
from tests.functional.test_resume import CUT_AFTER, Reader, cluster_of
from tests.support.calls import Client, events, take_event
from tests.support.processes import Cluster

ROUNDS = 5
OUTAGE_S = 5.0
CALL_PAUSE_S = 0.05


def main() -> int:
    """Print the table."""
    print(f"| failure | measured | median ms of {ROUNDS} | largest ms |")
    print("| --- | --- | --- | --- |")
    for name, what, measure in (
        ("entry instance killed in mid-answer", "kill to next token", after_kill),
        ("the same, table service down", "kill to next token", after_kill_and_outage),
        (
            f"table service out for {OUTAGE_S:.0f} s",
            "end of it to first draft served",
            after_outage,
        ),
        (
            "table service frozen",
            "first token of an idempotent call with a key",
            while_frozen,
        ),
        (
            "table service frozen",
            "until a draft is refused as not run",
            refusal_while_frozen,
        ),
    ):
        times = [measure() * 1000 for _ in range(ROUNDS)]
        print(f"| {name} | {what} | {median(times):.0f} | {max(times):.0f} |")
        sys.stdout.flush()
    return 0


def after_kill(before: Callable[[Cluster], None] | None = None) -> float:
    """Return the time from a kill to the first token elsewhere."""
    with cluster_of() as cluster:
        reader = Reader("dossier", {"Idempotency-Key": "key"})
        first = events(reader.open(cluster.clients["entry-1"]))
        while len(reader.got.offsets) < CUT_AFTER:
            take_event(reader.got, next(first))
        if before is not None:
            before(cluster)
        begun_s = time.monotonic()
        cluster.entries["entry-1"].kill()
        offset = reader.got.offsets[-1]
        rest = events(reader.open(cluster.clients["entry-2"], offset))
        next(rest)
        return time.monotonic() - begun_s


def after_kill_and_outage() -> float:
    """Return the same while the table service is down."""
    return after_kill(lambda cluster: fault(cluster.table, "outage"))


def after_outage() -> float:
    """Return the time from the end of an outage to the first draft served."""
    with cluster_of(("entry-1",)) as cluster:
        client = cluster.clients["entry-1"]
        fault(cluster.table, "outage")
        end_s = time.monotonic() + OUTAGE_S
        while time.monotonic() < end_s:
            assert draft(client, "during") == 503
        heal(cluster.table)
        healed_s = time.monotonic()
        while draft(client, "after") != 200:
            continue
        return time.monotonic() - healed_s


def while_frozen() -> float:
    """Return the time to the first token of an idempotent call with a key."""
    with cluster_of(("entry-1",)) as cluster:
        fault(cluster.table, "freeze", seconds=30)
        reader = Reader("lookup", {"Idempotency-Key": "key"})
        begun_s = time.monotonic()
        next(events(reader.open(cluster.clients["entry-1"])))
        return time.monotonic() - begun_s


def refusal_while_frozen() -> float:
    """Return the time until a draft is refused."""
    with cluster_of(("entry-1",)) as cluster:
        fault(cluster.table, "freeze", seconds=30)
        begun_s = time.monotonic()
        assert draft(cluster.clients["entry-1"], "during") == 503
        return time.monotonic() - begun_s


def draft(client: Client, key: str) -> int:
    """Ask for a draft; return the status."""
    time.sleep(CALL_PAUSE_S)
    return client.complete("draft", 1, once(key)).status


if __name__ == "__main__":
    sys.exit(main())
