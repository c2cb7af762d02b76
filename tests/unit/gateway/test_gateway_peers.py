"""Tests of the state that three instances exchange by gossip, and its effects."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from datetime import timedelta
from unittest import TestCase
from unittest.mock import patch

from mimosafork.gateway import gossip_adapter
from mimosafork.gateway.policies.placing import WorkPlacer
from mimosafork.gateway.policies.quarantining import CrashQuarantine
from mimosafork.gateway.policies.retrying import BudgetedRetry
from mimosafork.gossip.census import Census
from mimosafork.gossip.kinds.load import LOAD
from mimosafork.gossip.ledger import Slot
from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.documents import RouteEntry
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.faults import CrashOnRun, LostAnswer
from mimosafork.standins.prepared.store_faults import Refusal, StoreFaults
from mimosafork.standins.prepared.words import REQUEST_ID, SEAL, TOKEN_USAGE

from ...support.functions import function_tests
from ...support.gateway import BEARER, RunningGateway, running_gateway
from ...support.prepared import DESKS, ENGINES, HOST, USUAL_CONFIG, deployment

case = TestCase()


@dataclass
class Fleet:
    """Three instances of one platform; the store may be unavailable to the last one."""

    platform: Deployment
    instances: list[RunningGateway]

    @property
    def without_store(self) -> RunningGateway:
        """The instance whose store may be unavailable."""
        return self.instances[-1]


@contextmanager
def fleet(without_store: bool = False) -> Iterator[Fleet]:
    """Run three instances that have discovered each other."""
    with ExitStack() as stack:
        platform = stack.enter_context(deployment())
        unavailable = stack.enter_context(deployment(None))
        unavailable.store.set_faults(StoreFaults(down=Refusal.UNAVAILABLE))
        instances = []
        for number in range(3):
            follows = unavailable if without_store and number == 2 else None
            name = f"entry-{number}"
            instances.append(
                stack.enter_context(running_gateway(platform, name, follows=follows))
            )
        for each in instances:
            each.wait_until(lambda each=each: peers_of(each) == 2)  # type: ignore[misc]
        yield Fleet(platform, instances)


def peers_of(running: RunningGateway) -> int:
    gossip = running.server.gossip_adapter.gossip
    return 0 if gossip is None else len(gossip.peers)


def peer_works(running: RunningGateway) -> int:
    book = running.server.kernel.plugin(WorkPlacer).load_tracker
    return sum(len(works) for works in book.peers.values())


def test_calls_avoid_engines_used_by_peers() -> None:
    """All instances send their calls to the same engine while others are idle.

    Each instance must take the published work of its peers into account.
    """
    for path, service in (("/stream/1", ENGINES), ("/unsafe/1", DESKS)):
        with fleet() as running, ExitStack() as stack:
            settings = EndpointSettings(service, slots=1)
            for _ in range(3):
                if service == ENGINES:
                    end = running.platform.add_engine(settings)
                else:
                    end = running.platform.add_desk(settings)  # type: ignore[assignment]
                end.hold()
                for each in running.instances:
                    each.wait_until_listed(end)
            for number, each in enumerate(running.instances):
                each.wait_until(lambda e=each, n=number: peer_works(e) == n)  # type: ignore[misc]
                channel = stack.enter_context(each.channel())
                headers = {REQUEST_ID: f"c{number}", TOKEN_USAGE: "1000,80", **BEARER}
                channel.send("POST", path, headers, b"%d" % number)
                running.platform.log.wait_until(
                    lambda log, n=number: len(log.runs) == n + 1  # type: ignore[misc]
                )
            used = {run.instance for run in running.platform.log.runs}
            case.assertEqual(3, len(used), path)
            for endpoint in running.platform.endpoints:
                endpoint.let_go()
            running.platform.log.wait_until(lambda log: not log.at_work())
            for each in running.instances:
                each.wait_until(lambda e=each: peer_works(e) == 0)  # type: ignore[misc]


def test_short_plain_calls_are_not_published() -> None:
    """Instances choose full engines because gossip entries are delayed.

    Published at once, plain endpoints' calls of a few milliseconds made up over half
    of all entries of 64 instances, and ended before peers received them.
    """
    # On a busy machine a call could last long enough to be published.
    delayed = patch.object(
        gossip_adapter, "PLAIN_CALL_PUBLISH_DELAY", timedelta(minutes=1)
    )
    with delayed, fleet() as running:
        desk = running.platform.add_desk(EndpointSettings(DESKS))
        first, second, _ = running.instances
        first.wait_until_listed(desk)
        for number in range(3):
            case.assertEqual(200, first.ask("/safe/1", f"q{number}").status)
        # Published after any entry of those calls would be.
        engine = running.platform.add_engine(EndpointSettings(ENGINES))
        engine.hold()
        first.wait_until_listed(engine)
        with first.channel() as channel:
            headers = {REQUEST_ID: "last", TOKEN_USAGE: "1000,80", **BEARER}
            channel.send("POST", "/stream/1", headers, b"last")
            second.wait_until(lambda: peer_works(second) == 1)
            case.assertEqual(1, len(work_entries(second)))
            engine.let_go()
            running.platform.log.wait_until(lambda log: not log.at_work())


def work_entries(running: RunningGateway) -> list[Slot]:
    gossip = running.server.gossip_adapter.gossip
    assert gossip is not None
    members = gossip.exchange.roster.members.values()
    slots = (slot for member in members for slot in member.ledger.entries)
    return [slot for slot in slots if slot.kind == LOAD.number]


def test_an_instance_that_the_store_turns_away_follows_its_peers() -> None:
    """An instance without its store uses an old configuration and drained endpoints.

    The store answers all other instances. These provide the configuration, the
    endpoints and the notice that one of them drains.
    """
    with fleet(without_store=True) as running:
        leaving = running.platform.add_desk(EndpointSettings(DESKS))
        staying = running.platform.add_desk(EndpointSettings(DESKS))
        without_store = running.without_store
        without_store.wait_until_listed(leaving, staying)
        case.assertEqual(200, without_store.ask("/safe/1", "c1").status)
        fresh = RouteEntry("r-new", "/new/", "safe", DESKS, HOST)
        changed = replace(USUAL_CONFIG, routes=(*USUAL_CONFIG.routes, fresh))
        version = running.platform.configure(changed)
        directory = without_store.server.directory
        without_store.wait_until(
            lambda: directory.table is not None and directory.table.version == version
        )
        case.assertEqual(200, without_store.ask("/new/1", "c2").status)
        running.platform.drain(leaving)
        without_store.wait_until(lambda: not usable_at(without_store, leaving.id))
        for number in range(6):
            seal = without_store.ask("/safe/1", f"s{number}").headers[SEAL.lower()]
            case.assertTrue(seal.startswith(staying.id))


def usable_at(running: RunningGateway, endpoint: str) -> bool:
    view = running.server.kernel.plugin(WorkPlacer).fleet
    assert view is not None
    return endpoint in view.endpoints


def test_repeats_of_all_instances_draw_on_one_budget() -> None:
    """Three instances each spend the whole shared budget of five retries.

    Two of them may send two retries, and one may send one.
    """
    with fleet() as running:
        for _ in range(2):
            desk = running.platform.add_desk(EndpointSettings(DESKS))
            desk.play(LostAnswer(), None)
            for each in running.instances:
                each.wait_until_listed(desk)
                set_budget(each)
        for number, each in enumerate(running.instances):
            each.wait_until(lambda each=each: sharers(each) == 3)  # type: ignore[misc]
            for call in range(4):
                each.ask("/safe/1", f"{number}-{call}", b"%d%d" % (number, call))
        case.assertEqual(12 + 5, len(running.platform.log.runs))


def test_a_life_that_follows_another_waits_for_its_part() -> None:
    """A restarted instance spends the retry budget a second time.

    Retries of its previous incarnation are still in the window but unknown to it.
    """
    with fleet() as running, ExitStack() as stack:
        desks = [running.platform.add_desk(EndpointSettings(DESKS)) for _ in range(2)]
        for desk in desks:
            desk.play(LostAnswer(), None)
        again = stack.enter_context(running_gateway(running.platform, "entry-0"))
        again.wait_until_listed(*desks)
        set_budget(again)
        again.wait_until(lambda: census_of(again).complete)
        case.assertEqual(0, sharers(again))
        again.ask("/safe/1", "again", b"again")
        case.assertEqual(1, len(running.platform.log.runs))


def census_of(running: RunningGateway) -> Census:
    gossip = running.server.gossip_adapter.gossip
    assert gossip is not None
    return gossip.census


def sharers(running: RunningGateway) -> int:
    return running.server.kernel.plugin(BudgetedRetry).slack_sharers()


def set_budget(running: RunningGateway) -> None:
    bounds = running.server.settings.bounds.model_copy(
        update={"retry_ratio": 0.0, "retry_slack": 5.0}
    )
    running.call_in_loop(lambda: running.server._apply_bounds(bounds))


def test_a_request_that_crashes_endpoints_is_known_to_all() -> None:
    """A request that crashes endpoints takes down one after another.

    Its caller sends it to a different instance each time, so that no single instance
    sees enough crashes.
    """
    with fleet() as running:
        for _ in range(4):
            desk = running.platform.add_desk(EndpointSettings(DESKS))
            desk.play(CrashOnRun(), None)
            for each in running.instances:
                each.wait_until_listed(desk)
        first, second, third = running.instances
        for number in range(3):
            asked = (first, second)[number % 2]
            case.assertEqual(502, asked.ask("/unsafe/1", f"c{number}", b"x").status)
        quarantine = third.server.kernel.plugin(CrashQuarantine)
        third.wait_until(
            lambda: any(
                decision.crashes == 3
                for decision in quarantine.register.decisions.values()
            )
        )
        case.assertEqual(503, third.ask("/unsafe/1", "last", b"x").status)
        case.assertEqual([], running.platform.log.visits_of("last"))


load_tests = function_tests(__name__)
