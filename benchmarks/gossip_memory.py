"""Memory of what an instance keeps of a peer's words, measured with many of them."""

import tracemalloc
from collections.abc import Callable
from datetime import timedelta

from mimosafork.gossip.kinds.load import LOAD, WorkNote
from mimosafork.gossip.ledger import Entry, Ledger, Slot
from mimosafork.ids import EndpointId

COUNT = 20_000
HOSTS = [EndpointId(f"i-{number:08x}") for number in range(600)]


def work(number: int) -> WorkNote:
    """Return a work whose numbers no other one shares."""
    host = HOSTS[number % len(HOSTS)]
    return WorkNote(number, host, 2000 + number, 300 + number, 250, 300 + number, 5)


def no_word(number: int) -> None:
    """Return the value of a word that was taken back."""


def bytes_each(value_of: Callable[[int], object]) -> float:
    """Return how many bytes an entry takes."""
    ledger = Ledger()
    tracemalloc.start()
    for number in range(COUNT):
        born = timedelta(seconds=100, milliseconds=number)
        entry = Entry(1000 + number, born, value_of(number))
        ledger.accept(Slot(LOAD.number, number), entry)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / COUNT


def main() -> None:
    """Print all."""
    print(f"a work: {bytes_each(work):.0f} bytes")
    print(f"its end: {bytes_each(no_word):.0f} bytes")


if __name__ == "__main__":
    main()
