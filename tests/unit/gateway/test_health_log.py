"""Tests that each change of endpoint health is logged once."""

from datetime import timedelta
from random import Random

from mimosafork.clock import ManualClock
from mimosafork.gateway.policies import PLUGINS
from mimosafork.gateway.policies.endpoint_health import EndpointHealth
from mimosafork.gateway.policies.health_log import (
    HealthStatus,
    log_reinstated,
    log_suspicion,
)
from mimosafork.ids import (
    AvailabilityZoneId,
    Digest,
    EndpointId,
    Incarnation,
    InstanceId,
    ServiceId,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.crashes import PeerSuccessReported
from mimosafork.kernel.messages.routing import EndpointLeaving, EndpointUsable
from mimosafork.kernel.registry import create
from mimosafork.routing.listing import ListedEndpoint, ListedState
from mimosafork.telemetry.catalogue.gateway import (
    CONTENT_CLEARED,
    CONTENT_QUARANTINED,
    ENDPOINT_BACK,
    ENDPOINT_LEFT_ALONE,
    ENDPOINT_OUT,
    ENDPOINT_SUSPECTED,
)
from tests.support.crash_messages import peer_crashes
from tests.support.functions import function_tests
from tests.support.log_lines import caught_lines

START = timedelta(seconds=100)
SECOND = timedelta(seconds=1)
DIGEST = Digest("00ff")


def new_kernel() -> Kernel:
    identity = InstanceIdentity(
        InstanceId("i1"), Incarnation(1), AvailabilityZoneId("z1")
    )
    return Kernel(identity, ManualClock(), Random(1), create(PLUGINS))


def endpoint_health() -> EndpointHealth:
    listed = ListedEndpoint(
        EndpointId("e1"),
        ServiceId("letters"),
        "10.0.0.1:80",
        AvailabilityZoneId("z1"),
        4,
        ListedState.READY,
    )
    return EndpointHealth(listed)


def test_unreachable_endpoint_is_logged_once_and_again_when_back() -> None:
    """An engine's machine fails during eight calls and recovers later.

    The log has one line for the ejection and one for the recovery, not one per failure.
    """
    known = endpoint_health()
    with caught_lines() as caught:
        for _ in range(8):
            before = HealthStatus.of(known, START)
            known.note_unreached(START)
            log_suspicion(known, before, "unreached", START)
        log_reinstated(known, START)
        log_reinstated(known, START + 5 * SECOND)
        log_reinstated(known, START + 6 * SECOND)
    assert caught.one(ENDPOINT_LEFT_ALONE)["for_ms"] == 1000
    assert caught.one(ENDPOINT_BACK)["after_ms"] == 5000


def test_endpoint_whose_answers_break_off_is_suspected_once() -> None:
    known = endpoint_health()
    with caught_lines() as caught:
        for _ in range(3):
            before = HealthStatus.of(known, START)
            known.note_outcome(True, START)
            log_suspicion(known, before, "broken", START)
    fields = caught.one(ENDPOINT_SUSPECTED)
    assert (fields["endpoint"], fields["why"]) == ("e1", "broken")


def test_quarantined_content_is_logged_once_and_again_when_cleared() -> None:
    """A prompt crashes several engines, as seen here and by a peer.

    The quarantine is logged once, and so is its end after a completed call.
    """
    kernel = new_kernel()
    with caught_lines() as caught:
        for endpoints in ({"e1", "e2"}, {"e2", "e3"}, {"e4"}):
            for report in peer_crashes(DIGEST, endpoints, START):
                kernel.handle(report)
        for _ in range(2):
            kernel.handle(PeerSuccessReported(DIGEST, START))
    quarantined = caught.one(CONTENT_QUARANTINED)
    assert (quarantined["content"], quarantined["count"]) == ("00ff", 3)
    assert quarantined["endpoints"] == "e1,e2,e3"
    assert caught.one(CONTENT_CLEARED)["source"] == "peer"


def test_endpoint_reported_leaving_by_a_peer_is_logged_once() -> None:
    kernel = new_kernel()
    kernel.handle(EndpointUsable(endpoint_health().listed))
    with caught_lines() as caught:
        for _ in range(2):
            kernel.handle(EndpointLeaving(EndpointId("e1"), final=True))
    assert caught.one(ENDPOINT_OUT)["endpoint"] == "e1"


load_tests = function_tests(__name__)
