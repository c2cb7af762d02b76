"""Processor time of the idle gossip, by size of fleet.

Virtual time on a network without loss, on which all know each other from the start.
Only the calls that a service makes are measured, by processor time of this machine;
sending and receiving by the system is not in it. ``--profile`` prints the dearest
functions.
"""

import argparse
import cProfile
import pstats
import time
from datetime import timedelta

from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.members import Address
from tests.support.gossip_network import Network, Packet

SIZES = (8, 80, 160, 330)
SETTLE = timedelta(seconds=5)
SPAN = timedelta(seconds=4)
"""Twice the time of a pulse."""
UDP_AND_IP = 28
SHOWN = 30


class MeasuredNetwork(Network):
    """Adds up the processor time of all exchanges, in seconds.

    A service asks an exchange when its next tick is due after each datagram and each
    tick, not at each step as the network of the tests does.
    """

    used = 0.0

    def tick(self, address: Address, node: Exchange) -> None:
        """Tick an exchange if it is due."""
        if self.due[address] > self.now:
            return
        began = time.thread_time()
        ticked = node.tick(self.now)
        self.due[address] = node.next_due(self.now)
        self.used += time.thread_time() - began
        for each in ticked.datagrams:
            self.send(address, each.address, each.data)

    def hand_over(self, packet: Packet) -> None:
        """Give a datagram to its receiver."""
        node = self.nodes[packet.target]
        began = time.thread_time()
        node.datagram_received(packet.data, packet.source, self.now)
        due = node.next_due(self.now)
        self.used += time.thread_time() - began
        self.due[packet.target] = min(self.due[packet.target], due)


def acquainted(size: int) -> MeasuredNetwork:
    """Return a fleet whose instances all know each other.

    Their heartbeats and pulses don't fall on the same instants.
    """
    network = MeasuredNetwork(seed=5)
    nodes = network.fleet(size)
    for node in nodes:
        phase = network.random.random()
        network.due[node.me.address] += phase * node.timing.heartbeat
        node.pulse_due = network.now + phase * node.timing.pulse_every
        for other in nodes:
            node.learn(other.me, network.now)
        for member in node.roster.members.values():
            node.roster.hear(member, network.now)
        node.circle.choose_partners(network.now)
    return network


def print_size(size: int, profiled: bool) -> None:
    """Print what an idle instance of a fleet takes."""
    network = acquainted(size)
    nodes = list(network.nodes.values())
    network.run(SETTLE)
    sent = sum(node.counters.sent for node in nodes)
    sent_bytes = sum(node.counters.sent_bytes for node in nodes)
    network.used = 0.0
    profile = cProfile.Profile()
    if profiled:
        profile.enable()
    network.run(SPAN)
    profile.disable()
    share = size * SPAN.total_seconds()
    each_s = (sum(node.counters.sent for node in nodes) - sent) / share
    bytes_s = (sum(node.counters.sent_bytes for node in nodes) - sent_bytes) / share
    alive = min(len(list(node.roster.alive())) for node in nodes)
    print(
        f"{size} instances, {alive} peers alive at least: {each_s:.1f} datagrams/s, "
        f"{bytes_s:.0f} bytes/s ({bytes_s + UDP_AND_IP * each_s:.0f} with UDP and IP), "
        f"{network.used / share:.2%} of a core",
        flush=True,
    )
    if profiled:
        pstats.Stats(profile).sort_stats("tottime").print_stats(SHOWN)


def main() -> None:
    """Print the sizes that are asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, default=SIZES)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    for size in options.sizes:
        print_size(size, options.profile)


if __name__ == "__main__":
    main()
