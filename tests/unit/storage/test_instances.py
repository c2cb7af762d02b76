"""The instance list is read at a bounded cost."""

from dataclasses import replace
from datetime import timedelta
from random import Random

from mimosafork.clock import ManualClock, SystemClock
from mimosafork.ids import InstanceId
from mimosafork.kernel.messages.fleet import InstancesListed
from mimosafork.network.http import HttpClient
from mimosafork.standins.instances import (
    InstanceKind,
    InstanceListStandin,
    InstanceState,
    ListedInstance,
)
from mimosafork.storage.instances import (
    LIST_BURST_BYTES,
    LIST_BYTES_PER_S,
    InstanceListClient,
    InstanceListPoller,
    ListReading,
)
from tests.support.functions import function_tests
from tests.support.standins import running

ENGINE = ListedInstance(
    "e1", InstanceKind.MODEL_ENGINE, "127.0.0.1:1", "az-1", 1, InstanceState.LIVE
)


def test_an_unchanged_list_is_not_sent_again() -> None:
    """A quiet fleet of the design size would spend 168 KB a second on the list.

    Each instance reads the whole list every second though nothing changed, until
    nothing is left of the traffic that control may use. The cause: reads that do
    not say what is known already.
    """
    standin = InstanceListStandin(SystemClock(), lag_s=0.0)
    standin.instances.put("e1", ENGINE, 0.0)
    with running(standin) as caller:
        client = InstanceListClient(HttpClient(InstanceId("i")), caller.address)
        first = client.read_if_changed(None)
        again = client.read_if_changed(first)
        leaving = replace(ENGINE, state=InstanceState.LEAVING)
        standin.instances.put("e1", leaving, 0.0)
        changed = client.read_if_changed(again)
    assert first.size > 0
    assert again.size == 0
    assert again.listed.endpoints == first.listed.endpoints
    assert changed.size > 0
    assert changed.listed.endpoints[0].state.value == "leaving"


class WholeLists:
    """A platform that sends a list of one size whole, each time."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.reads = 0

    def read_if_changed(self, last: ListReading | None) -> ListReading:
        """Return the whole list."""
        self.reads += 1
        return ListReading(InstancesListed((), ()), None, self.size)


def test_whole_lists_are_read_at_a_bounded_pace() -> None:
    """A platform without tags costs a node no more than its share of traffic.

    A list of 168 KB comes whole with each read, every second. The node's traffic
    for control is six times over its bound and its callers' streams suffer. The
    cause: a period that does not look at what a read costs.
    """
    clock = ManualClock()
    client = WholeLists(168_000)
    second = timedelta(seconds=1)
    poller = InstanceListPoller(
        client,  # type: ignore[arg-type]
        clock,
        Random(1),
        second,
        lambda listed: None,
    )
    for _ in range(600):
        if poller.wait_time() <= timedelta(0):
            poller.idle()
        clock.advance(second)
    bound = LIST_BURST_BYTES + 600 * LIST_BYTES_PER_S + client.size
    assert client.reads * client.size <= bound
    assert client.reads >= 20


load_tests = function_tests(__name__)
