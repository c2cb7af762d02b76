"""Entry instances that exchange over gRPC on loopback."""

from contextlib import ExitStack
from datetime import timedelta

from mimosafork.ids import Digest, Revision
from mimosafork.kernel.messages.peers import AnnounceDrain, MembersChanged, MemberState
from mimosafork.peers.frames import ConfigurationText
from mimosafork.peers.task import HoldConfiguration
from tests.support.functions import function_tests
from tests.support.peer_nodes import RunningNode, introduce, running_node
from tests.support.waiting import eventually


def test_three_instances_hear_of_each_other() -> None:
    with ExitStack() as stack:
        nodes = [stack.enter_context(running_node(f"n{each}")) for each in range(3)]
        introduce(*nodes)

        eventually(lambda: all(_live(each) == {"n0", "n1", "n2"} for each in nodes))


def test_configuration_reaches_an_instance_by_peers_alone() -> None:
    """One zone is cut off from the store when a configuration is accepted.

    Its instances would go on with the old one, and operators see two in force.
    """
    text = ConfigurationText(Revision(7), Digest("ab" * 32), b"[fleet]\n" * 1000)
    with ExitStack() as stack:
        near = stack.enter_context(running_node("n1", "az-1"))
        relay = stack.enter_context(running_node("n2", "az-1"))
        far = stack.enter_context(running_node("f1", "az-2"))
        introduce(near, relay, far)
        near.task.send(HoldConfiguration(text))

        eventually(lambda: far.task.configuration.held == text)


def test_draining_is_told_before_the_instance_ends() -> None:
    with running_node("n1") as first, running_node("n2") as second:
        introduce(first, second)
        eventually(lambda: "n1" in _live(second))
        first.task.send(AnnounceDrain())

        eventually(lambda: _state(second, "n1") is MemberState.DRAINING)


def test_silent_instance_is_suspect_and_live_again_when_it_speaks() -> None:
    with running_node("n2") as second:
        with running_node("n1") as first:
            introduce(first, second)
            eventually(lambda: "n1" in _live(second))
        eventually(
            lambda: _state(second, "n1") is MemberState.SUSPECT,
            within=timedelta(seconds=15),
        )
        with running_node("n1", incarnation=2) as again:
            introduce(again, second)
            eventually(lambda: "n1" in _live(second))


def _members(of: RunningNode) -> MembersChanged | None:
    changes = [each for each in of.told if isinstance(each, MembersChanged)]
    return changes[-1] if changes else None


def _live(of: RunningNode) -> set[str]:
    seen = _members(of)
    if seen is None:
        return set()
    return {each.instance for each in seen.members if each.state is MemberState.LIVE}


def _state(of: RunningNode, name: str) -> MemberState | None:
    seen = _members(of)
    if seen is None:
        return None
    states = {each.instance: each.state for each in seen.members}
    return states.get(name)  # type: ignore[call-overload]


load_tests = function_tests(__name__)
