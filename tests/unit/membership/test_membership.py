"""Assignment of endpoint watchers, and propagation of endpoint state."""

from msgspec.structs import replace

from mimosafork.ids import EndpointId, Incarnation
from mimosafork.kernel.messages.fleet import EndpointEntry
from mimosafork.policies.membership import Membership
from tests.support.functions import function_tests
from tests.support.kernels import engine_entry
from tests.support.zones import Deployment, SimulatedInstance


def test_each_endpoint_has_two_watchers_and_work_is_spread() -> None:
    entries = [engine_entry(f"e{number}") for number in range(24)]
    zone = _running(Deployment({"az-1": 6}, entries), entries)

    counts = [len(zone.watchers(each.endpoint)) for each in entries]

    assert counts == [2] * 24
    assert max(len(each.watched) for each in zone.instances) <= 16


def test_new_instance_does_not_watch_whole_zone() -> None:
    """Twenty instances of a zone start together, each knowing only the list.

    Until it discovers the others, each would act as the only instance of the zone:
    probe all endpoints and publish them to the whole fleet, twenty times over.
    """
    entries = [engine_entry(f"e{number}") for number in range(40)]
    zone = Deployment({"az-1": 20}, entries)
    zone.list_all(*entries)

    most = max(len(instance.watched) for instance in zone.instances)
    publishers = [
        instance.name for instance in zone.instances if _is_zone_publisher(instance)
    ]

    assert most <= 10, most
    assert len(publishers) == 1, publishers


def test_watched_endpoints_are_known_everywhere() -> None:
    entries = [engine_entry(f"e{number}") for number in range(6)]
    zone = _running(Deployment({"az-1": 6}, entries), entries)

    for instance in zone.instances:
        known = instance.kernel.state.fleet.endpoints.values()
        assert all(endpoint.report is not None for endpoint in known)


def test_draining_endpoint_gets_no_requests_while_list_lags() -> None:
    """An endpoint begins to drain; the platform's list shows it live for 30 s more.

    Its watchers see it within a second; the others must receive it from them. An
    instance that went by the list alone would keep sending requests to it.
    """
    entries = [engine_entry("e1"), engine_entry("e2")]
    zone = _running(Deployment({"az-1": 9}, entries), entries)
    zone.endpoints[entries[0].endpoint].draining = True

    zone.steps(5)
    for _ in range(25):
        zone.list_endpoints(*entries)
        for instance in zone.instances:
            instance.dispatched.clear()
        zone.submit_everywhere()
        sent_to = {
            sent.endpoint for instance in zone.instances for sent in instance.dispatched
        }
        assert sent_to == {"e2"}
        zone.step()


def test_other_zone_learns_of_draining_endpoint() -> None:
    entries = [engine_entry("e1"), engine_entry("f1", zone="az-2")]
    zones = _running(Deployment({"az-1": 3, "az-2": 3}, entries), entries)
    zones.endpoints[entries[0].endpoint].draining = True

    zones.steps(6)

    for instance in zones.instances:
        leaving = instance.kernel.state.fleet.endpoints[entries[0].endpoint]
        assert leaving.leaving, instance.name


def test_restarted_endpoint_is_used_again() -> None:
    """An endpoint that the zone publisher does not watch goes down.

    The other instances, the zone publisher among them, learn of its state only from
    what its watchers publish.
    """
    entries = [engine_entry(f"e{number}") for number in range(8)]
    zone = _running(Deployment({"az-1": 5}, entries), entries)
    publisher = next(each.name for each in zone.instances if _is_zone_publisher(each))
    name = next(
        each.endpoint
        for each in entries
        if publisher not in zone.watchers(each.endpoint)
    )
    dead = zone.endpoints[name]
    dead.answers = False
    zone.steps(4)
    assert _usable(zone, name) == [False] * 5

    dead.answers = True
    dead.entry = replace(dead.entry, incarnation=Incarnation(2))
    zone.steps(6)

    assert _usable(zone, name) == [True] * 5


def test_frozen_watchers_are_replaced() -> None:
    """Both watchers of an endpoint freeze.

    Nobody would probe it: its load would grow stale, and draining go unnoticed. Other
    instances take over once the two are suspected, and stop when they resume.
    """
    entries = [engine_entry("e1")]
    zone = _running(Deployment({"az-1": 5}, entries), entries)
    first = zone.watchers("e1")
    for name in first:
        zone.named(name).frozen = True

    zone.steps(11)
    assert len(zone.watchers("e1")) == 2
    assert not set(zone.watchers("e1")) & set(first)

    for name in first:
        zone.named(name).frozen = False
    zone.steps(4)
    assert set(zone.watchers("e1")) == set(first)


def test_zone_without_instances_is_watched_by_others() -> None:
    entries = [engine_entry("e1"), engine_entry("f1", zone="az-2")]
    zones = _running(Deployment({"az-1": 3, "az-2": 2}, entries), entries)
    for instance in zones.instances:
        instance.frozen = instance.zone == "az-2"

    zones.steps(20)

    assert len(zones.watchers("f1")) == 2


def test_instance_cut_off_from_its_peers_watches_its_zone_alone() -> None:
    entries = [engine_entry(f"e{number}") for number in range(4)]
    zone = _running(Deployment({"az-1": 4}, entries), entries)
    for instance in zone.instances[1:]:
        instance.frozen = True

    zone.steps(10)

    assert len(zone.instances[0].watched) == 4


def test_unreachable_list_changes_nothing() -> None:
    entries = [engine_entry("e1"), engine_entry("e2")]
    zone = _running(Deployment({"az-1": 3}, entries), entries)

    zone.steps(120)
    zone.submit_everywhere()

    assert all(instance.dispatched for instance in zone.instances)


def _running(zones: Deployment, entries: list[EndpointEntry]) -> Deployment:
    """Let the instances read the list, warm up and discover each other."""
    zones.list_endpoints(*entries)
    zones.steps(14)
    return zones


def _is_zone_publisher(instance: SimulatedInstance) -> bool:
    return instance.kernel.plugin(Membership).is_zone_publisher


def _usable(zones: Deployment, endpoint: EndpointId) -> list[bool]:
    now = zones.clock.monotonic()
    return [
        each.kernel.state.fleet.endpoints[endpoint].accepts_new_requests(now)
        for each in zones.instances
    ]


load_tests = function_tests(__name__)
