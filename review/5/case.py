"""One turned bit in one event's id, and the instance drops all events after it."""

import re
import socket
import sys
import threading
import time
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

STREAMS = 50
SPOILED = {f"s{number}" for number in (10,)}
"""Streams that meet the disruption: 1 in 50, the sheet's 0.02 of the answers."""

EVENTS = 38
"""Of each stream, as the sheet has them."""

SPOILED_EVENT = 12
TURNED_BIT = 0x08
EVENT_ID = re.compile(rb"^id: ([0-9]+)$", re.MULTILINE)
MARK = re.compile(rb"^data: piece ([0-9]+) of (\S+)$", re.MULTILINE)


class Sent:
    """The pieces that the replicas have sent, by request."""

    def __init__(self) -> None:
        self.pieces: dict[str, list[int]] = {}
        self.lock = threading.Lock()

    def add(self, request: str, number: int) -> None:
        """Note a piece."""
        with self.lock:
            self.pieces.setdefault(request, []).append(number)


def event(request: str, number: int) -> bytes:
    """Return one event."""
    return f"id: {number}\ndata: piece {number} of {request}\n\n".encode()


def spoiled(whole: bytes) -> bytes:
    """Return an event with one bit of its id turned: 12 becomes 92."""
    at = len(b"id: ")
    return whole[:at] + bytes([whole[at] ^ TURNED_BIT]) + whole[at + 1 :]


def engine(name: str, sent: Sent, record: Record) -> Endpoint:
    """Return a replica that streams all events and ends its answer in order."""

    def serve(request: Received, channel: socket.socket) -> bool:
        channel.sendall(stream_head(request))
        after = int(request.headers.get("last-event-id", "0"))
        record.note(name, f"runs {request.id}, events after {after}")
        for number in range(after + 1, EVENTS + 1):
            piece = event(request.id, number)
            if number == SPOILED_EVENT and request.id in SPOILED and trouble():
                piece = spoiled(piece)
                record.note(name, f"{request.id}: sends {piece!r}")
            channel.sendall(chunk(piece))
            sent.add(request.id, number)
            time.sleep(0.002)
        channel.sendall(b"0\r\n\r\n")
        record.note(name, f"{request.id}: answer ended in order")
        return True

    return Endpoint(name, serve, record)


def case(record: Record) -> bool:
    """Play the case; return whether the rule held."""
    sent = Sent()
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
        for number in (1, 2):
            each = engine(f"i-engine-{number}", sent, record)
            platform.list_endpoint(each.name, each.address, "lectores", "zone-a")
        with gateway(platform) as front:
            front.wait_until_ready()
            held = [
                whole_or_broken(front, f"s{n}", sent, record) for n in range(STREAMS)
            ]
    record.note("case", f"{held.count(False)} of {STREAMS} answers break the rule")
    return all(held)


def whole_or_broken(front: Gateway, request: str, sent: Sent, record: Record) -> bool:
    """Ask for a stream; return False if it looks whole and is not."""
    headers = {
        "X-Request-Id": request,
        "X-Deadline-Ms": "10000",
        "X-Token-Usage": "5000,1300",
    }
    reply = ask(front.front, "POST", f"/carta/{request}", headers, b"prompt", 12.0)
    found = [int(match[1]) for match in MARK.finditer(unchunked(reply.body))]
    ids = [int(match[1]) for match in EVENT_ID.finditer(unchunked(reply.body))]
    expected = sorted(set(sent.pieces.get(request, [])))
    missing = [number for number in expected if number not in found]
    note = f"{request}: {reply}, seal {'x-response-seal' in reply.headers}"
    if missing:
        note += f"; ids {ids}; missing, though sent to the instance: {missing}"
    record.note("caller", note)
    return not (reply.status == 200 and reply.whole and missing)


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
