"""One spoiled event of one answer holds up a whole instance."""

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (
    Endpoint,
    Platform,
    Received,
    Record,
    answer,
    ask,
    chunk,
    gateway,
    limits,
    play,
    route,
    service,
    stream_head,
    trouble,
)

LINES = 34
"""Lines of the event: one for each of its 34 tokens, as the sheet has them."""

ROUTE_TIMEOUT_S = 4.0
PATIENCE_S = 0.5
"""The rule's: an answer later than the time-out by this is missing."""

CALLS = 20
SPOILED_BYTE = 0x00


def event(number: int) -> bytes:
    """Return one event, its lines ended by CR LF."""
    lines = [b"id: %d" % number]
    lines += [b"data: token %d" % line for line in range(LINES)]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def spoiled(whole: bytes) -> bytes:
    """Return an event whose last line begins with a byte that was turned."""
    start = whole.rindex(b"data:")
    return whole[:start] + bytes([SPOILED_BYTE]) + whole[start + 1 :]


def serve_engine(request: Received, channel: socket.socket) -> bool:
    """Stream three events; with the disruption the second one is spoiled."""
    channel.sendall(stream_head(request))
    for number in (1, 2, 3):
        piece = event(number)
        if number == 2 and trouble():
            piece = spoiled(piece)
        channel.sendall(chunk(piece))
        time.sleep(0.05)
    channel.sendall(b"0\r\n\r\n")
    return True


def serve_desk(request: Received, channel: socket.socket) -> bool:
    """Answer at once."""
    channel.sendall(answer(request, b"x" * 800))
    return True


def case(record: Record) -> bool:
    """Play the case; return whether the rule held."""
    with Platform() as platform:
        engine = Endpoint("i-engine-1", serve_engine, record)
        desk = Endpoint("i-desk-1", serve_desk, record)
        platform.configure(
            {
                "version": 1,
                "routes": [
                    route("carta", "stream", "lectores", **{"timeout-ms": 10_000}),
                    route("estado", "safe", "ventanilla"),
                ],
                "services": [service("lectores", engine=True), service("ventanilla")],
                "limits": limits(),
            }
        )
        platform.list_endpoint(engine.name, engine.address, "lectores", "zone-a")
        platform.list_endpoint(desk.name, desk.address, "ventanilla", "zone-a")
        with gateway(platform) as front:
            front.wait_until_ready()
            return held(front, record)


def held(front, record: Record) -> bool:
    """Send one stream and, beside it, calls of the other service."""

    def stream() -> None:
        headers = {
            "X-Request-Id": "s1",
            "X-Deadline-Ms": "10000",
            "X-Token-Usage": "5000,600",
        }
        reply = ask(front.front, "POST", "/carta/1", headers, b"prompt", 20.0)
        record.note("caller of the stream", str(reply))

    threading.Thread(target=stream, daemon=True).start()
    time.sleep(1.0)
    cpu_before = front.cpu_s()
    late = []
    calls = [
        threading.Thread(target=call, args=(front, n, record, late))
        for n in range(CALLS)
    ]
    for each in calls:
        each.start()
        time.sleep(0.1)
    for each in calls:
        each.join()
    record.note("ready", f"the balancer's question is answered: {front.is_ready()}")
    record.note(
        "instance", f"processor time in this while: {front.cpu_s() - cpu_before:.1f} s"
    )
    record.note("case", f"{len(late)} of {CALLS} calls unanswered at time-out + 0.5 s")
    return len(late) * 2 <= CALLS


def call(front, number: int, record: Record, late: list[int]) -> None:
    """Make one call of the plain service, and note whether its answer is late."""
    begun = time.monotonic()
    headers = {"X-Request-Id": f"c{number}", "X-Deadline-Ms": "6000"}
    try:
        reply = ask(
            front.front,
            "GET",
            f"/estado/{number}",
            headers,
            b"",
            ROUTE_TIMEOUT_S + PATIENCE_S,
        )
        status = reply.status
    except OSError as error:
        record.note(f"caller {number}", repr(error))
        status = 0
    if not status:
        late.append(number)
    record.note(
        f"caller {number}", f"status {status} after {time.monotonic() - begun:.3f} s"
    )


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
