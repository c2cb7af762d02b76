"""Tests of calls that are restricted to regions, with instances as processes."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from unittest import TestCase

from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.documents import ConfigEntry, RouteEntry, TenantEntry
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.faults import CutAnswer, OwnError, Scripted
from mimosafork.standins.prepared.words import RETRY_AFTER

from ..support.endpoint_cut import CutMode
from ..support.functions import function_tests
from ..support.gateway_processes import (
    GatewayProcess,
    InstancePlace,
    cut_file,
    gateway_process,
)
from ..support.prepared import (
    API_KEY,
    DESKS,
    ENGINES,
    HOST,
    USUAL_CONFIG,
    CallResult,
    deployment,
)
from ..support.waiting import eventually

case = TestCase()

REGIONS = {"zone-a": "north", "zone-b": "south"}
"""An endpoint of another zone is in no region."""

ZONES = (*REGIONS, "zone-c")
NORTHERN_KEY = "key-of-northern-account"
SOUTHERN_ROUTES = (
    RouteEntry("r-south", "/south/", "safe", DESKS, HOST, allowed_regions=("south",)),
    RouteEntry(
        "r-south-stream",
        "/south-stream/",
        "stream",
        ENGINES,
        HOST,
        resumable=True,
        allowed_regions=("south",),
    ),
)
RESTRICTED = replace(
    USUAL_CONFIG,
    routes=(*USUAL_CONFIG.routes, *SOUTHERN_ROUTES),
    tenants=(
        TenantEntry("account-a", (API_KEY,), 1),
        TenantEntry("account-b", (NORTHERN_KEY,), 1, ("north",)),
    ),
)
CALLS = 20
LAST = CALLS - 1
"""By then the calls have earned a retry, whatever the share of the slack is."""


@dataclass
class TwoRegions:
    """An instance in each of two regions, with endpoints in three zones."""

    platform: Deployment
    northern: GatewayProcess
    southern: GatewayProcess

    def zones_reached(self, prefix: str) -> set[str]:
        """Return the zones of endpoints at which calls have arrived, by their ids."""
        zones = {each.id: each.settings.zone for each in self.platform.endpoints}
        log = self.platform.log
        return {
            zones[visit.instance]
            for visit in list(log.visits)
            if visit.request_id.startswith(prefix)
        }

    def configure(self, config: ConfigEntry) -> None:
        """Write a configuration, and wait until both instances apply it."""
        version = self.platform.configure(config)
        for each in (self.northern, self.southern):
            eventually(lambda e=each: version_of(e) == version)  # type: ignore[misc]


def version_of(instance: GatewayProcess) -> int:
    """Return the version of the configuration that refuses a call."""
    instance.ask("/nowhere/1", "version")
    refused = [line for line in instance.process.lines if "MF2012" in line]
    fields = refused[-1].partition('"version":')[2] if refused else ""
    digits = "".join(each for each in fields[:12] if each.isdigit())
    return int(digits) if digits else 0


def ask(
    instance: GatewayProcess, path: str, name: str, key: str = API_KEY
) -> CallResult:
    return instance.ask(path, name, Authorization=f"Bearer {key}")


@contextmanager
def two_regions() -> Iterator[TwoRegions]:
    with deployment(RESTRICTED) as platform, ExitStack() as stack:
        for zone in ZONES * 2:
            platform.add_desk(EndpointSettings(DESKS, zone=zone))
            platform.add_engine(EndpointSettings(ENGINES, zone=zone))
        addresses = [each.address for each in platform.endpoints]
        instances = [
            stack.enter_context(
                gateway_process(
                    platform,
                    f"entry-{number}",
                    cut_from=addresses,
                    place=InstancePlace(zone, REGIONS),
                )
            )
            for number, zone in enumerate(REGIONS, 1)
        ]
        for instance, peer in zip(instances, ("entry-2", "entry-1"), strict=True):
            instance.wait_until_ready()
            instance.wait_until_logged(f"peer {peer} ")
            instance.wait_until(
                lambda i=instance: ask(i, "/safe/1", "w").status == 200,  # type: ignore[misc]
                "serves",
            )
        yield TwoRegions(platform, *instances)


def test_restricted_calls_stay_in_their_regions() -> None:
    """First attempts, retries or resumed streams leave the regions of their calls."""
    with two_regions() as fleet:
        failing = Scripted(OwnError(), 1, request_id=f"south-{LAST}")
        cutting = Scripted(CutAnswer(after_events=1), 1, request_id=f"stream-{LAST}")
        for endpoint in fleet.platform.endpoints:
            if endpoint.settings.zone == "zone-b":
                endpoint.play_scripted(failing)
                endpoint.play_scripted(cutting)
        for number in range(CALLS):
            instance = (fleet.northern, fleet.southern)[number % 2]
            ask(instance, "/south/1", f"south-{number}")
            ask(instance, "/south-stream/1", f"stream-{number}")
            case.assertEqual(200, ask(instance, "/safe/1", f"free-{number}").status)
            own = ask(instance, "/safe/1", f"north-{number}", NORTHERN_KEY)
            case.assertEqual(200, own.status)
            both = ask(instance, "/south/1", f"both-{number}", NORTHERN_KEY)
            case.assertEqual(503, both.status)
            case.assertIn(RETRY_AFTER.lower(), both.headers)
        case.assertEqual({"zone-b"}, fleet.zones_reached("south-"))
        case.assertEqual({"zone-b"}, fleet.zones_reached("stream-"))
        case.assertEqual({"zone-a"}, fleet.zones_reached("north-"))
        case.assertEqual(set(REGIONS), fleet.zones_reached("free-"))
        log = fleet.platform.log
        case.assertEqual(2, len(log.visits_of(f"south-{LAST}")))
        case.assertEqual(2, len(log.visits_of(f"stream-{LAST}")))
        case.assertEqual(set(), fleet.zones_reached("both-"))


def test_without_home_endpoint_calls_are_refused_and_others_are_served() -> None:
    """A region loses its endpoints, and its calls overflow into another one."""
    with two_regions() as fleet:
        for endpoint in list(fleet.platform.endpoints):
            if endpoint.settings.zone == "zone-b":
                fleet.platform.remove(endpoint)
        eventually(lambda: ask(fleet.southern, "/south/1", "gone-1").status == 503)
        refused = ask(fleet.southern, "/south/1", "gone-2")
        case.assertEqual(503, refused.status)
        case.assertIn(RETRY_AFTER.lower(), refused.headers)
        fleet.southern.wait_until_logged('"why":"no-home-endpoint"')
        case.assertEqual(200, ask(fleet.southern, "/safe/1", "free").status)
        case.assertLessEqual(fleet.zones_reached("gone-"), {"zone-b"})


def test_a_new_restriction_is_obeyed_once_it_is_in_force() -> None:
    """Calls go on leaving the regions that the operator has allowed."""
    with two_regions() as fleet:
        routes = tuple(
            replace(each, allowed_regions=("south",)) if each.name == "r-safe" else each
            for each in RESTRICTED.routes
        )
        fleet.configure(replace(RESTRICTED, routes=routes))
        for number in range(CALLS):
            instance = (fleet.northern, fleet.southern)[number % 2]
            case.assertEqual(200, ask(instance, "/safe/1", f"new-{number}").status)
        case.assertEqual({"zone-b"}, fleet.zones_reached("new-"))


def test_calls_are_forwarded_to_peers_in_their_regions_only() -> None:
    """An instance that reaches no endpoint sends bodies to peers of other regions."""
    with two_regions() as fleet:
        cut_file(fleet.northern.path.parent).write_text(CutMode.RESET.value)
        fleet.northern.wait_until(
            lambda: (
                ask(fleet.northern, "/safe/1", "probe").status == 200
                and any("MF2501" in line for line in fleet.northern.process.lines)
            ),
            "forwards calls",
        )
        for number in range(CALLS):
            result = ask(fleet.northern, "/south/1", f"south-{number}")
            case.assertEqual(200, result.status)
            own = ask(fleet.northern, "/safe/1", f"north-{number}", NORTHERN_KEY)
            case.assertEqual(503, own.status)
        case.assertEqual({"zone-b"}, fleet.zones_reached("south-"))
        case.assertEqual(set(), fleet.zones_reached("north-"))
        seen = [line for line in fleet.southern.process.lines if '"north-' in line]
        case.assertEqual([], seen)


load_tests = function_tests(__name__)
