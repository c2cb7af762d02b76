"""What the gossip sends: bytes by kind of word, and by size of fleet and rate.

All in virtual time on a network without loss; processor time is of this machine.
"""

import time
from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from msgspec.structs import replace

from mimosafork.directory.row_version import RowVersion
from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.kinds.base import Key, Kind
from mimosafork.gossip.kinds.configuration import CONFIGURATION, KEY, Versions
from mimosafork.gossip.kinds.crashes import (
    INTERRUPTED_RUNS,
    QUARANTINES,
    SUCCESSES,
    QuarantineNote,
    RunNote,
    SuccessNote,
)
from mimosafork.gossip.kinds.doubt import DOUBT, Doubt, Reason
from mimosafork.gossip.kinds.endpoints import ENDPOINTS, EndpointWord, Word
from mimosafork.gossip.kinds.load import LOAD, Part, WorkNote
from mimosafork.ids import AccountId, Digest, EndpointId
from tests.support.gossip_network import Network, ms

HOST, HELPER = EndpointId("i-7f3a91c2"), EndpointId("i-7f3a91c3")
ENDPOINT_COUNT = 30
WARM = timedelta(seconds=6)
RELAYED_WARM = timedelta(seconds=14)
SPAN_S = 10
STEP = timedelta(milliseconds=10)
FIRST_EVENT = timedelta(milliseconds=300)
ANSWER = timedelta(seconds=2)
NUMBERS = 50_000
GROWN = ((68, 43), (77, 52))
"""Instances of grown fleets, and works a second of all of them together."""
UDP_AND_IP = 28
ACCOUNT = AccountId("account-a")
CONTENT = Digest("0" * 32)
PARTS = (Digest("engines/5c1e07a2"), Digest("engines/91bd3f06"))
RUN = RunNote(HOST, CONTENT, ACCOUNT, PARTS, 1, 250)


@dataclass(frozen=True, slots=True)
class Said:
    """A word to measure."""

    name: str
    kind: Kind
    key: Key
    value: object | None


LEAVING = EndpointWord(Word.LEAVING, RowVersion(1, 12_345))

WORDS = (
    Said("a work", LOAD, 1, WorkNote(1, HOST, 2000, 300, 250)),
    Said("its end", LOAD, 1, None),
    Said(
        "a work with two helpers",
        LOAD,
        2,
        WorkNote(2, HOST, 182_000, 300, 250, 0, None, (Part(HELPER, 60_000),) * 2),
    ),
    Said("versions", CONFIGURATION, KEY, Versions((1_234, 1, 12_345), (1, 12_346))),
    Said("an endpoint's leaving", ENDPOINTS, HOST, LEAVING),
    Said("an interrupted run", INTERRUPTED_RUNS, f"{HOST} {CONTENT}", RUN),
    Said("a success", SUCCESSES, PARTS[0], SuccessNote(40)),
    Said(
        "a quarantine",
        QUARANTINES,
        PARTS[0],
        QuarantineNote((ACCOUNT,), 40, 600_000, 0, 3, False),
    ),
    Said("a doubt", DOUBT, HOST, Doubt(Reason.SLOW)),
)


def print_words() -> None:
    """Print the longest datagram that each word makes, alone."""
    network = Network()
    first, _ = network.fleet(2)
    network.run(WARM)
    for said in WORDS:
        network.longest = 0
        first.say(said.kind, said.key, said.value, network.now)
        # Longer than any kind waits, and before the next names are told.
        network.run(ms(250))
        print(f"{said.name}: {network.longest} bytes")
        network.run(ms(500))


@dataclass(frozen=True, slots=True)
class Step:
    """What a work does next."""

    at: timedelta
    node: Exchange
    number: int
    note: WorkNote | None


class Traffic:
    """Works that begin at a rate at each instance, write and end.

    Parameters
    ----------
    rate : float
        Works a second at each instance.
    """

    def __init__(self, network: Network, rate: float) -> None:
        self.network = network
        self.rate = rate
        self.random = Random(2)
        self.count = 0
        self.first_events: deque[Step] = deque()
        self.ends: deque[Step] = deque()

    def step(self) -> None:
        """Let works begin, write and end for a step."""
        for node in self.network.nodes.values():
            if self.random.random() < self.rate * STEP.total_seconds():
                self.begin(node)
        for due in (self.first_events, self.ends):
            while due and due[0].at <= self.network.now:
                step = due.popleft()
                step.node.say(LOAD, step.number, step.note, self.network.now)
        self.network.run(STEP)

    def begin(self, node: Exchange) -> None:
        """Let one work begin."""
        self.count += 1
        number = self.count % NUMBERS
        host = EndpointId(f"i-{self.random.randrange(ENDPOINT_COUNT) * 99_991 + 1:08x}")
        tokens = self.random.randrange(1000, 20_000)
        note = WorkNote(number, host, tokens, self.random.randrange(50, 900), 250)
        now = self.network.now
        node.say(LOAD, number, note, now)
        writing = replace(note, age_ms=300, writing_ms=0)
        self.first_events.append(Step(now + FIRST_EVENT, node, number, writing))
        self.ends.append(Step(now + ANSWER, node, number, None))


def print_rates(size: int, rate: float) -> None:
    """Print what an instance of a fleet sends a second."""
    network = Network(seed=5)
    nodes = network.fleet(size)
    relayed = size > nodes[0].timing.mesh_size
    network.run(RELAYED_WARM if relayed else WARM)
    sent = sum(node.counters.sent for node in nodes)
    sent_bytes = sum(node.counters.sent_bytes for node in nodes)
    traffic = Traffic(network, rate)
    began = time.process_time()
    for _ in range(int(SPAN_S / STEP.total_seconds())):
        traffic.step()
    used = (time.process_time() - began) / size / SPAN_S
    sent = sum(node.counters.sent for node in nodes) - sent
    sent_bytes = sum(node.counters.sent_bytes for node in nodes) - sent_bytes
    each_s, each_bytes = sent / size / SPAN_S, sent_bytes / size / SPAN_S
    print(
        f"{size} instances, {rate} works/s each: {each_s:.1f} datagrams/s, "
        f"{each_bytes:.0f} bytes/s ({each_bytes + UDP_AND_IP * each_s:.0f} with UDP "
        f"and IP), longest {network.longest} bytes, {used:.2%} of a core"
    )


def main() -> None:
    """Print all."""
    print_words()
    for rate in (0, 2, 10, 20, 40):
        print_rates(8, rate)
    for size in (40, 80):
        print_rates(size, 0)
    for size, of_all in GROWN:
        print_rates(size, round(of_all / size, 2))


if __name__ == "__main__":
    main()
