"""Each change of the belief about an endpoint is logged once."""

from datetime import timedelta

from mimosafork.gateway.policies.fleet_view import EndpointBelief
from mimosafork.gateway.policies.standing import Standing, tell_doubt, tell_return
from mimosafork.ids import AvailabilityZoneId, EndpointId, ServiceId
from mimosafork.routing.listing import ListedEndpoint, ListedState
from mimosafork.telemetry.catalogue.gateway import (
    ENDPOINT_BACK,
    ENDPOINT_LEFT_ALONE,
    ENDPOINT_SUSPECTED,
)
from tests.support.functions import function_tests
from tests.support.log_lines import caught_lines

START = timedelta(seconds=100)
SECOND = timedelta(seconds=1)


def belief() -> EndpointBelief:
    listed = ListedEndpoint(
        EndpointId("e1"),
        ServiceId("letters"),
        "10.0.0.1:80",
        AvailabilityZoneId("z1"),
        4,
        ListedState.READY,
    )
    return EndpointBelief(listed)


def test_endpoint_that_vanishes_is_told_once_and_told_back() -> None:
    """An engine's machine dies under eight calls and is up again later.

    Eight failures tell the same; the log has one line for the belief, and one when
    it answers again.
    """
    known = belief()
    with caught_lines() as caught:
        for _ in range(8):
            before = Standing.of(known, START)
            known.note_unreached(START)
            tell_doubt(known, before, "unreached", START)
        tell_return(known, START)
        tell_return(known, START + 5 * SECOND)
        tell_return(known, START + 6 * SECOND)
    assert caught.one(ENDPOINT_LEFT_ALONE)["for_ms"] == 1000
    assert caught.one(ENDPOINT_BACK)["after_ms"] == 5000


def test_endpoint_whose_answers_break_off_is_suspected_once() -> None:
    known = belief()
    with caught_lines() as caught:
        for _ in range(3):
            before = Standing.of(known, START)
            known.note_outcome(True, START)
            tell_doubt(known, before, "broken", START)
    fields = caught.one(ENDPOINT_SUSPECTED)
    assert (fields["endpoint"], fields["why"]) == ("e1", "broken")


load_tests = function_tests(__name__)
