"""Tests of gateways as processes that are frozen and resume."""

import signal
import time
from unittest import TestCase

from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.faults import CrashOnRun
from mimosafork.standins.prepared.words import AUTHORIZATION, REQUEST_ID

from ..support.functions import function_tests
from ..support.prepared import DESKS, Channel
from ..support.waiting import eventually
from .test_gateway_fleet import KEY, pair, said, status, until_serving

case = TestCase()

FREEZE_S = 1.5
BODY = b"body"
"""Body of the requests that `GatewayProcess.ask` sends."""


def test_request_received_in_a_freeze_waits_for_suspicions_received_in_it() -> None:
    """A resumed instance must not send a content that its peer has quarantined."""
    with pair() as running:
        desks = [running.platform.add_desk(EndpointSettings(DESKS)) for _ in range(4)]
        until_serving(running.first, *desks)
        until_serving(running.second, *desks)
        caller = Channel(running.second.front)
        headers = {REQUEST_ID: "first", AUTHORIZATION: KEY}
        caller.send("POST", "/safe/1", headers, b"")
        case.assertEqual(200, caller.read_answer().status)
        for desk in desks:
            desk.play(CrashOnRun(), None)
        running.second.process.signal(signal.SIGSTOP)
        frozen_at = time.monotonic()
        headers = {REQUEST_ID: "last", AUTHORIZATION: KEY}
        caller.send("POST", "/unsafe/1", headers, BODY)
        for number in range(3):
            case.assertEqual(502, status(running.first, "/unsafe/1", f"c{number}"))
        eventually(lambda: said(running.first, "MF2034", ""))
        eventually(lambda: time.monotonic() - frozen_at > FREEZE_S)
        running.second.process.signal(signal.SIGCONT)
        case.assertEqual(503, caller.read_answer().status)
        case.assertEqual([], running.platform.log.visits_of("last"))


load_tests = function_tests(__name__)
