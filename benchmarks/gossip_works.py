"""What telling of works costs an instance of a large fleet, and who knows how soon.

Virtual time on a network without loss, on which all know each other from the start.
Works begin at random instances, are told to those who share the engine's subset or to
all, and end 1.5 s later; each counts as a request of its service. Measured are the
exchanges' calls, by processor time of this machine; sockets are not in it.
"""

import argparse
from datetime import timedelta
from heapq import heappop, heappush
from random import Random

from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.kinds.load import LOAD, WorkNote
from mimosafork.gossip.ledger import Slot
from mimosafork.ids import EndpointId, InstanceId, ServiceId
from mimosafork.placement.subset import InstanceOrder

from .gossip_time import UDP_AND_IP, MeasuredNetwork, acquainted

SETTLE = timedelta(seconds=3)
SPAN = timedelta(seconds=4)
ANSWER = timedelta(milliseconds=1500)
SOON = timedelta(milliseconds=30)
SERVICE = ServiceId("pool")


class Works:
    """Works that begin and end in a fleet.

    Attributes
    ----------
    shares : list of float
        Of each work, the share of its audience that knew of it after `SOON`.
    """

    def __init__(self, network: MeasuredNetwork, engines: int, to_all: bool) -> None:
        self.network = network
        self.nodes = list(network.nodes.values())
        self.by_name = {each.me.instance: each for each in self.nodes}
        self.engines = engines
        self.to_all = to_all
        self.order = InstanceOrder.of(self.by_name)
        self.random = Random(5)
        self.begun = 0
        self.ends: list[tuple[timedelta, int, Exchange]] = []
        self.looks: list[tuple[timedelta, int, Exchange, frozenset[InstanceId]]] = []
        self.shares: list[float] = []

    def begin(self) -> None:
        """Let a work begin at some instance on one of its engines."""
        now, node = self.network.now, self.random.choice(self.nodes)
        self.begun += 1
        first = self.order.first_engine(node.me.instance, self.engines)
        place = (first + self.random.randrange(10)) % self.engines
        host = EndpointId(f"i-{place:010x}")
        users = self.order.users(place, self.engines)
        audience = frozenset(self.by_name if self.to_all else users)
        audience -= {node.me.instance}
        note = WorkNote(self.begun, host, 5000, 600, 250)
        node.tell(LOAD, self.begun, note, audience, now)
        self.network.due[node.me.address] = now
        heappush(self.ends, (now + ANSWER, self.begun, node))
        heappush(self.looks, (now + SOON, self.begun, node, audience))

    def go_on(self) -> None:
        """Let works end, and look who knows of those that began."""
        now = self.network.now
        while self.ends and self.ends[0][0] <= now:
            _, number, node = heappop(self.ends)
            node.tell(LOAD, number, None, frozenset(), now)
            self.network.due[node.me.address] = now
        while self.looks and self.looks[0][0] <= now:
            _, number, node, audience = heappop(self.looks)
            slot = Slot(LOAD.number, number)
            mine = node.me.instance
            ledgers = [
                self.by_name[each].roster.members[mine].ledger for each in audience
            ]
            known = sum(slot in ledger.entries for ledger in ledgers)
            self.shares.append(known / len(ledgers))

    def run(self, span: timedelta, a_second: float) -> None:
        """Let so many works a second begin for a time."""
        end = self.network.now + span
        while self.network.now < end:
            self.begin()
            self.go_on()
            self.network.run(timedelta(seconds=1) / a_second)


def main() -> None:
    """Print one way of telling at one size and rate."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=195)
    parser.add_argument("--engines", type=int, default=112)
    parser.add_argument("--works", type=float, default=84.0, help="a second, of all")
    parser.add_argument("--to-all", action="store_true")
    options = parser.parse_args()
    network = acquainted(options.instances)
    works = Works(network, options.engines, options.to_all)
    works.run(SETTLE, options.works)
    sent = sum(node.counters.sent for node in works.nodes)
    sent_bytes = sum(node.counters.sent_bytes for node in works.nodes)
    network.used = 0.0
    works.shares.clear()
    works.run(SPAN, options.works)
    share = options.instances * SPAN.total_seconds()
    each_s = (sum(node.counters.sent for node in works.nodes) - sent) / share
    bytes_s = (sum(n.counters.sent_bytes for n in works.nodes) - sent_bytes) / share
    known = sum(works.shares) / len(works.shares)
    print(
        f"{options.instances} instances, {options.works:.0f} works/s"
        f"{' to all' if options.to_all else ''}: {each_s:.1f} datagrams/s, "
        f"{bytes_s + UDP_AND_IP * each_s:.0f} bytes/s with UDP and IP, "
        f"{network.used / share:.2%} of a core, {known:.1%} of those told know after "
        f"{SOON // timedelta(milliseconds=1)} ms"
    )


if __name__ == "__main__":
    main()
