"""Tests that an engine's memory is freed after its users were killed."""

from contextlib import ExitStack
from datetime import timedelta
from typing import Any
from unittest import TestCase

from mimosafork.ids import EndpointId, InstanceId
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.recovery import (
    FreeHolding,
    FreeReason,
    HoldingsListed,
    ListHoldings,
)
from mimosafork.network.http import HttpClient
from mimosafork.recovery.task import CleaningTask
from mimosafork.standins import EngineSettings
from tests.support.functions import function_tests
from tests.support.standins import Caller, running_engine, whole

DEAD = {"instance": "i2", "incarnation": 1}
ALIVE = {"instance": "i3", "incarnation": 1}
LONG_MS = 600_000


def create_holdings(engine: Caller, owner: dict[str, Any], name: str) -> None:
    """Create a running stream, a reservation and an export."""
    common = {"owner": owner, "deadline_ms": LONG_MS}
    exported = engine.start(f"{name}-x", "letter " * 200, export_kv=True, **common)
    assert whole(exported)[1]["kv_handle"] is not None
    running = engine.start(f"{name}-s", "letter " * 300, max_tokens=5000, **common)
    assert running.status == 200
    body = {"id": f"{name}-r", "owner": owner, "tokens": 5000, "ttl_s": 600}
    assert engine.call("POST", "/v1/reservations", json=body).status == 201


def kinds_held_by(engine: Caller, owner: dict[str, Any]) -> set[str]:
    answer = engine.get(f"/v1/holdings?owner={owner['instance']}")
    return {each["kind"] for each in answer["holdings"]}


def test_memory_of_a_killed_instance_is_freed() -> None:
    """Guards against memory that stays in use until the deadlines of a killed instance.

    It leaves a stream, a reservation and an export with ten more minutes to their
    deadlines. The cleaning task frees them, and no holding of a live instance.
    """
    settings = EngineSettings(token_interval=timedelta(milliseconds=2))
    with ExitStack() as stack:
        _, engine = stack.enter_context(running_engine(settings))
        http = HttpClient(InstanceId("cleaner"))
        messages: list[Message] = []
        task = CleaningTask(http, messages.append)
        all_kinds = {"stream", "reservation", "export"}
        for owner, name in ((DEAD, "d"), (ALIVE, "a")):
            create_holdings(engine, owner, name)
            assert kinds_held_by(engine, owner) == all_kinds
        task.receive(ListHoldings(EndpointId("e"), engine.address, InstanceId("i2")))
        (listing,) = messages
        assert isinstance(listing, HoldingsListed)
        assert {each.owner for each in listing.holdings} == {"i2"}
        assert all(each.time_left > timedelta(minutes=5) for each in listing.holdings)
        with TestCase().assertLogs("mimosafork.recovery.task", "INFO") as logs:
            for holding in listing.holdings:
                reason = FreeReason.OWNER_REPLACED
                free = FreeHolding(listing.endpoint, engine.address, holding, reason)
                task.receive(free)
        assert len(logs.records) == len(all_kinds), "operators see what was freed"
        assert kinds_held_by(engine, DEAD) == set()
        assert kinds_held_by(engine, ALIVE) == all_kinds


def test_engine_that_does_not_answer_lists_nothing() -> None:
    messages: list[Message] = []
    task = CleaningTask(HttpClient(InstanceId("cleaner")), messages.append)
    task.receive(ListHoldings(EndpointId("e"), "127.0.0.1:1"))
    assert messages == []


load_tests = function_tests(__name__)
