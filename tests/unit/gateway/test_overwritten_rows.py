"""Tests of whole calls while another writer has overwritten an endpoint's row."""

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


def test_endpoint_with_overwritten_row_gets_no_calls_until_it_reports() -> None:
    """Calls are sent to an endpoint whose row was overwritten by another tool.

    The endpoint's state is unknown then. Its running calls finish, new calls go to the
    other endpoint, and its next report makes it usable again.
    """
    with gateway_world() as world, world.running.channel() as channel:
        overwritten = world.add_desk()
        overwritten.hold()
        channel.send("POST", "/unsafe/1", {REQUEST_ID: "c1", **BEARER})
        world.platform.log.wait_until(lambda log: len(log.runs) == 1)
        other = world.add_desk()
        name = RowName(TABLE_SERVERS, "", overwritten.id)
        value = b64encode(b'{"state":"ready"}').decode()
        world.platform.store.write(Transaction(puts=(Put(name, value),)))
        world.running.wait_until(lambda: used(world) == {other.id})
        for number in range(6):
            result = world.running.ask("/safe/1", f"s{number}")
            case.assertTrue(result.headers[SEAL.lower()].startswith(other.id))
        overwritten.let_go()
        result = channel.read_answer()
        case.assertTrue(result.headers[SEAL.lower()].startswith(overwritten.id))
        world.platform.beat(overwritten)
        world.running.wait_until(lambda: used(world) == {overwritten.id, other.id})
        world.platform.remove(other)
        world.running.wait_until(lambda: used(world) == {overwritten.id})
        result = world.running.ask("/safe/1", "last")
        case.assertTrue(result.headers[SEAL.lower()].startswith(overwritten.id))


load_tests = function_tests(__name__)
