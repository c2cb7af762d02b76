"""Tests of the traffic limits of the instance list."""

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
    """Unconditional reads of an unchanged list exceed the control traffic budget.

    At the design size each instance would transfer 168 KB every second although
    nothing changed.
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


class UntaggedListClient:
    """Fake client of a platform that returns the full list on each read."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.reads = 0

    def read_if_changed(self, last: ListReading | None) -> ListReading:
        """Return the full list."""
        self.reads += 1
        return ListReading(InstancesListed((), ()), None, self.size)


def test_full_lists_are_read_within_the_byte_budget() -> None:
    """A platform without tags returns the full list of 168 KB on each read.

    Read every second regardless of size, the list would take six times the node's
    budget for control traffic and slow down its callers' streams.
    """
    clock = ManualClock()
    client = UntaggedListClient(168_000)
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
