"""What a gateway adds to the time of a plain call.

``python -m benchmarks.gateway_latency``. Calls go to a plain endpoint's stand-in in
turn directly and through a real gateway process, each way on one kept connection.
"""

import time
from contextlib import ExitStack
from functools import partial
from http import HTTPStatus
from statistics import median, quantiles

from mimosafork.platform import names
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from tests.support.gateway_processes import GatewayProcess, gateway_process
from tests.support.prepared import API_KEY, DESKS, HOST, Channel, deployment
from tests.support.waiting import eventually

PATH = "/safe/1"
CALLS = 400
BODY = b"x" * 600
PERCENT = 100


def headers_of(call_id: str) -> dict[str, str]:
    """Return the headers of one call."""
    return {
        "Host": HOST,
        names.REQUEST_ID.decode(): call_id,
        names.AUTHORIZATION.decode(): f"Bearer {API_KEY}",
    }


def timed(channel: Channel, call_id: str) -> float:
    """Make a call; return its milliseconds."""
    began = time.perf_counter()
    channel.send("POST", PATH, headers_of(call_id), BODY)
    answer = channel.read_answer()
    assert answer.status == HTTPStatus.OK, answer
    return (time.perf_counter() - began) * 1e3


def served(started: GatewayProcess) -> bool:
    """Return whether the gateway serves the path."""
    answer = started.ask(PATH, "warm", Authorization=f"Bearer {API_KEY}")
    return answer.status == HTTPStatus.OK


def main() -> None:
    """Measure and print."""
    with deployment() as platform, ExitStack() as stack:
        desk = platform.add_desk(EndpointSettings(DESKS))
        started = stack.enter_context(gateway_process(platform))
        started.wait_until_ready()
        eventually(partial(served, started))
        direct = stack.enter_context(Channel(desk.address))
        through = stack.enter_context(Channel(started.front))
        alone, passed = [], []
        for number in range(CALLS):
            alone.append(timed(direct, f"direct-{number}"))
            passed.append(timed(through, f"through-{number}"))
    for name, times in (("direct", alone), ("through the gateway", passed)):
        p95 = quantiles(times, n=PERCENT)[94]
        print(f"{name}: p50 {median(times):.2f} ms, p95 {p95:.2f} ms")


if __name__ == "__main__":
    main()
