"""What idle gossip costs as processes: ``python -m benchmarks.gossip_processes``.

So many processes have a gossip each, on addresses of their own, and find each other by
the first. Told are the medians over them, a second: processor time, the times that the
process waited for something and so was woken up, and datagrams sent. They are this
machine's, with its other work.
"""

import argparse
import asyncio
import resource
import statistics
import subprocess
import sys
import time

from mimosafork.gossip.callbacks import Callbacks
from mimosafork.gossip.members import Address
from mimosafork.gossip.options import GossipOptions
from mimosafork.gossip.service import Gossip
from mimosafork.gossip.sockets import open_sockets
from mimosafork.ids import AvailabilityZoneId, InstanceId

PORT = 17_340
WARM_S = 12.0
SPAN_S = 15.0
ZONES = 3


def address_of(number: int) -> Address:
    """Return where the numbered instance listens."""
    return Address(f"127.0.1.{number + 1}", PORT)


async def idle(number: int) -> None:
    """Be one instance, and print what it took."""
    gossip = Gossip(
        GossipOptions(
            InstanceId(f"front-{number}"),
            AvailabilityZoneId(f"zone-{number % ZONES}"),
            "blue",
            (address_of(0),),
        ),
        open_sockets(address_of(number)),
        lambda matter: None,
        Callbacks(),
    )
    await gossip.start()
    await asyncio.sleep(WARM_S)
    sent, used_s = gossip.exchange.counters.sent, time.process_time()
    waits = resource.getrusage(resource.RUSAGE_SELF).ru_nvcsw
    await asyncio.sleep(SPAN_S)
    waits = resource.getrusage(resource.RUSAGE_SELF).ru_nvcsw - waits
    used_s = time.process_time() - used_s
    sent = gossip.exchange.counters.sent - sent
    each_s = [used_s * 1e3 / SPAN_S, waits / SPAN_S, sent / SPAN_S]
    print(*each_s, len(gossip.peers))


def main() -> None:
    """Start all and print the medians, or be one of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=48)
    parser.add_argument("--number", type=int, help="be this one")
    options = parser.parse_args()
    if options.number is not None:
        asyncio.run(idle(options.number))
        return
    command = [sys.executable, "-m", "benchmarks.gossip_processes", "--number"]
    started = [
        subprocess.Popen([*command, str(each)], stdout=subprocess.PIPE, text=True)
        for each in range(options.instances)
    ]
    rows = [[float(word) for word in each.communicate()[0].split()] for each in started]
    used, waits, sent, peers = (
        statistics.median(column) for column in zip(*rows, strict=True)
    )
    print(
        f"{options.instances} instances, {peers:.0f} peers heard: {used:.2f} ms of "
        f"processor a second, {waits:.1f} wake-ups, {sent:.1f} datagrams out"
    )


if __name__ == "__main__":
    main()
