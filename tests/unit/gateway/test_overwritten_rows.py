"""Tests of whole calls while another writer has written over an endpoint's row."""

from base64 import b64encode
from unittest import TestCase

from mimosafork.standins.prepared.rows import Put, RowName, Transaction
from mimosafork.standins.prepared.words import REQUEST_ID, SEAL, TABLE_SERVERS

from ...support.functions import function_tests
from ...support.gateway import BEARER, World, gateway_world

case = TestCase()


def used(world: World) -> set[str]:
    """Return which endpoints the instance's directory uses."""
    entries = world.running.server.directory.endpoints
    return {str(name) for name, entry in entries.items() if entry.takes_new_work}


def test_an_endpoint_whose_row_is_overwritten_gets_no_calls_until_it_reports() -> None:
    """A tool writes over an endpoint's row, and nobody knows where it stands.

    Calls went on to it by what the row had said. Now what runs there goes on to its
    end, new calls go to its neighbour alone, and its next report brings it back.
    """
    with gateway_world() as world, world.running.channel() as channel:
        resting = world.add_desk()
        resting.hold()
        channel.send("POST", "/unsafe/1", {REQUEST_ID: "c1", **BEARER})
        world.platform.log.wait_until(lambda log: len(log.runs) == 1)
        other = world.add_desk()
        name = RowName(TABLE_SERVERS, "", resting.id)
        value = b64encode(b'{"state":"ready"}').decode()
        world.platform.store.write(Transaction(puts=(Put(name, value),)))
        world.running.wait_until(lambda: used(world) == {other.id})
        for number in range(6):
            result = world.running.ask("/safe/1", f"s{number}")
            case.assertTrue(result.headers[SEAL.lower()].startswith(other.id))
        resting.let_go()
        result = channel.read_answer()
        case.assertTrue(result.headers[SEAL.lower()].startswith(resting.id))
        world.platform.beat(resting)
        world.running.wait_until(lambda: used(world) == {resting.id, other.id})
        world.platform.remove(other)
        world.running.wait_until(lambda: used(world) == {resting.id})
        result = world.running.ask("/safe/1", "last")
        case.assertTrue(result.headers[SEAL.lower()].startswith(resting.id))


load_tests = function_tests(__name__)
