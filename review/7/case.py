"""A stream whose ids have 19 digits is resumed from its first event."""

import re
import socket
import struct
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (
    Endpoint,
    Gateway,
    Platform,
    Received,
    Record,
    ask,
    chunk,
    gateway,
    limits,
    play,
    route,
    service,
    stream_head,
    trouble,
    unchunked,
)

STREAMS = 20
RESET = {f"s{number}" for number in range(0, STREAMS, 2)}
"""Streams whose channel to the replica is reset: half, as `reset_conns` has it."""

EVENTS = 38
"""Of each stream, as the sheet has them."""

BASE = 1_765_070_000_000_000_000
"""The ids are instants in nanoseconds: increasing, of 19 digits."""

RESET_AFTER = 12
"""Events after which a replica's channels are reset."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MARK = re.compile(rb"^data: piece ([0-9]+)$", re.MULTILINE)


class Resets:
    """Which runs are reset: the first one of each of half of the requests."""

    def __init__(self) -> None:
        self.met: set[str] = set()
        self.lock = threading.Lock()

    def meets(self, request: str) -> bool:
        """Return whether this run is reset."""
        with self.lock:
            first = request not in self.met
            self.met.add(request)
        return first and request in RESET and trouble()


def engine(name: str, resets: Resets, record: Record) -> Endpoint:
    """Return a replica that resumes behind the event that a request names."""

    def serve(request: Received, channel: socket.socket) -> bool:
        reset = resets.meets(request.id)
        named = request.headers.get("last-event-id")
        after = 0 if named is None else int(named) - BASE
        record.note(name, f"runs {request.id}, Last-Event-Id {named}")
        channel.sendall(stream_head(request))
        for number in range(after + 1, EVENTS + 1):
            piece = f"id: {BASE + number}\ndata: piece {number}\n\n".encode()
            channel.sendall(chunk(piece))
            time.sleep(0.002)
            if reset and number == RESET_AFTER:
                time.sleep(0.05)
                channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                record.note(name, f"{request.id}: channel reset after {number} events")
                return False
        channel.sendall(b"0\r\n\r\n")
        return True

    return Endpoint(name, serve, record)


def case(record: Record) -> bool:
    """Play the case; return whether the rule held."""
    resets = Resets()
    with Platform() as platform:
        platform.configure(
            {
                "version": 1,
                "routes": [
                    route("carta", "stream", "lectores", **{"timeout-ms": 10_000}),
                ],
                "services": [service("lectores", engine=True)],
                "limits": limits(),
            }
        )
        for number in (1, 2, 3):
            each = engine(f"i-engine-{number}", resets, record)
            platform.list_endpoint(each.name, each.address, "lectores", "zone-a")
        with gateway(platform) as front:
            front.wait_until_ready()
            with ThreadPoolExecutor(STREAMS) as callers:
                names = [f"s{number}" for number in range(STREAMS)]
                held = list(callers.map(lambda n: in_order(front, n, record), names))
    record.note("case", f"{held.count(False)} of {STREAMS} answers break the rule")
    return all(held)


def in_order(front: Gateway, request: str, record: Record) -> bool:
    """Ask for a stream; return False if a piece is missing or comes twice."""
    headers = {
        "X-Request-Id": request,
        "X-Deadline-Ms": "10000",
        "X-Token-Usage": "5000,1300",
    }
    reply = ask(front.front, "POST", f"/carta/{request}", headers, b"prompt", 12.0)
    found = [int(match[1]) for match in MARK.finditer(unchunked(reply.body))]
    record.note("caller", f"{request}: {reply}; pieces {found}")
    expected = list(range(1, len(found) + 1))
    return found == expected and (len(found) == EVENTS or not reply.whole)


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
