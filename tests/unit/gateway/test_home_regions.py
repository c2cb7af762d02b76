"""Tests of the restriction of calls to their home regions."""

from datetime import timedelta
from random import Random
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.gateway.policies.backoff_waits import BackoffAdmission
from mimosafork.gateway.policies.home_regions import (
    FORWARDED_OUTSIDE,
    NO_COMMON_REGION,
    NO_HOME_ENDPOINT,
)
from mimosafork.gateway.policies.rate_limit_admission import RateLimitAdmission
from mimosafork.gateway.policies.rate_limits import EndpointRateLimits
from mimosafork.ids import EndpointId, InstanceId, RegionId, RequestId
from mimosafork.kernel.context import Context
from mimosafork.kernel.lifecycle import QUEUE_MISSES
from mimosafork.kernel.messages.attempts import (
    AttemptSilent,
    EndSilentAttempt,
    Exposure,
    FailureKind,
)
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.rate_limits import LimitStatement, RateLimitStated
from mimosafork.kernel.messages.routing import EndpointLeaving
from mimosafork.kernel.plugins import Proceed, Refuse
from mimosafork.kernel.records import RequestRecord

from ...support.functions import function_tests
from ...support.gateway_kernels import RETRY_PAUSE, ZONE, request_of
from ...support.regional_fleet import (
    NORTH,
    SOUTH,
    SOUTHERN_ZONE,
    UNNAMED_ZONE,
    RegionalBench,
    regional_bench,
)

case = TestCase()

CALLS = 24
SILENCE = timedelta(seconds=1)


def check_refused(bench: RegionalBench, request_id: str, detail: str) -> None:
    """Check that a call was refused as not run, and was sent nowhere."""
    case.assertEqual([], bench.dispatches(request_id))
    end = bench.concluded(request_id)
    case.assertIs(Outcome.NOT_RUN, end.outcome)
    assert end.problem is not None
    case.assertIs(ProblemCode.NO_HOME_ENDPOINT, end.problem.code)
    case.assertEqual(detail, end.problem.detail)
    case.assertIsNotNone(end.problem.retry_after)


def test_restricted_calls_reach_endpoints_in_their_home_regions_only() -> None:
    """A body leaves the regions that its route or account allows."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.list_in(SOUTHERN_ZONE, "far-1", "far-2")
    for number in range(CALLS):
        dispatch = bench.begin(bench.restricted(f"r{number}", SOUTH))
        case.assertEqual(SOUTHERN_ZONE, bench.zone_of(dispatch.endpoint))
        bench.finish(dispatch)


def test_calls_without_restriction_use_all_endpoints() -> None:
    """Settings that name regions keep calls without restriction from endpoints."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.list_in(SOUTHERN_ZONE, "far")
    bench.list_in(UNNAMED_ZONE, "unnamed")
    used = {bench.begin(request_of(bench, f"r{n}")).endpoint for n in range(CALLS)}
    case.assertEqual({"near", "far", "unnamed"}, used)
    case.assertEqual({}, bench.homes.restricted)


def test_endpoints_of_zones_without_region_get_no_restricted_call() -> None:
    """A zone is added to a deployment, and its region is not yet in the settings."""
    bench = regional_bench()
    bench.list_in(UNNAMED_ZONE, "unnamed")
    bench.submit(bench.restricted("r0", NORTH, SOUTH))
    check_refused(bench, "r0", NO_HOME_ENDPOINT)


def test_without_zones_in_the_settings_restricted_calls_are_refused() -> None:
    """A settings file without zones sends restricted calls anywhere."""
    bench = regional_bench({})
    bench.list_in(ZONE, "near")
    bench.submit(bench.restricted("r0", NORTH))
    check_refused(bench, "r0", NO_HOME_ENDPOINT)
    case.assertEqual(EndpointId("near"), bench.begin(request_of(bench, "r1")).endpoint)


def test_a_call_whose_regions_exclude_each_other_is_refused() -> None:
    """Two restrictions without a common region are taken for none."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.submit(bench.restricted("r0"))
    check_refused(bench, "r0", NO_COMMON_REGION)


def test_a_call_without_usable_home_endpoint_is_refused_at_once() -> None:
    """A caller waits for a quarter of its time though nothing will change."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.list_in(SOUTHERN_ZONE, "far")
    first = bench.begin(bench.restricted("r0", SOUTH, non_idempotent=True))
    bench.fail(first, FailureKind.UNREACHED, Exposure.NEVER_SENT)
    bench.retried(first)
    case.assertEqual(1, len(bench.dispatches("r0")))
    case.assertIs(Outcome.NOT_RUN, bench.concluded("r0").outcome)
    bench.submit(bench.restricted("r1", SOUTH))
    check_refused(bench, "r1", NO_HOME_ENDPOINT)


def test_calls_that_wait_are_refused_when_the_last_home_endpoint_leaves() -> None:
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.list_in(SOUTHERN_ZONE, "far")
    bench.hold("far")
    bench.submit(bench.restricted("r0", SOUTH))
    case.assertIsNone(bench.conclusion("r0"))
    bench.handle(EndpointLeaving(EndpointId("far")))
    bench.handle(Tick())
    check_refused(bench, "r0", NO_HOME_ENDPOINT)


def test_a_restricted_call_waits_for_a_home_endpoint_though_others_are_free() -> None:
    """A busy region overflows into one that the call may not be sent to."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.list_in(SOUTHERN_ZONE, "far")
    bench.hold("far")
    bench.submit(bench.restricted("r0", SOUTH))
    bench.handle(Tick())
    case.assertEqual([], bench.dispatches("r0"))
    bench.let_go("far")
    case.assertEqual(EndpointId("far"), bench.dispatches("r0")[-1].endpoint)


def test_waiting_restricted_calls_do_not_hold_up_others() -> None:
    """A busy region blocks all calls of a service, as they share a queue."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.list_in(SOUTHERN_ZONE, "far")
    bench.hold("near", "far")
    for number in range(QUEUE_MISSES + 1):
        bench.submit(bench.restricted(f"waiting-{number}", SOUTH))
    bench.submit(request_of(bench, "free"))
    case.assertEqual([], bench.dispatches("free"))
    bench.let_go("near")
    case.assertEqual(EndpointId("near"), bench.dispatches("free")[-1].endpoint)


def test_retries_stay_in_the_home_regions() -> None:
    """The first attempt is restricted, and the retry goes anywhere."""
    bench = regional_bench()
    bench.list_in(ZONE, "near-1", "near-2")
    bench.list_in(SOUTHERN_ZONE, "far-1", "far-2")
    for kind, exposure in (
        (FailureKind.BROKEN, Exposure.POSSIBLE),
        (FailureKind.REFUSED, Exposure.REFUSED),
        (FailureKind.UNREACHED, Exposure.NEVER_SENT),
        (FailureKind.DRAINING, Exposure.NEVER_SENT),
    ):
        name = kind.value
        dispatch = bench.begin(bench.restricted(name, SOUTH))
        bench.fail(dispatch, kind, exposure)
        bench.handle_after(RETRY_PAUSE, Tick())
        bench.retried(dispatch)
        zones = {bench.zone_of(each.endpoint) for each in bench.dispatches(name)}
        case.assertEqual({SOUTHERN_ZONE}, zones, name)


def test_a_silent_attempt_is_not_ended_for_an_endpoint_outside() -> None:
    """A slow answer is lost, as the only endpoint that is free may not be used."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.list_in(SOUTHERN_ZONE, "far")
    for request, moved in (
        (bench.restricted("r0", SOUTH), 0),
        (request_of(bench, "r1"), 1),
    ):
        dispatch = bench.begin(request)
        bench.handle(AttemptSilent(dispatch.request_id, dispatch.attempt, SILENCE))
        case.assertEqual(moved, len(list(bench.emitted(EndSilentAttempt))))


def test_a_forwarded_call_obeys_the_restriction_of_the_receiver() -> None:
    """The sender knows an older configuration, which does not restrict the call."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.list_in(SOUTHERN_ZONE, "far")
    sender = InstanceId("entry-2")
    inside = replace(bench.restricted("r0", NORTH), forwarded_by=sender)
    case.assertEqual(EndpointId("near"), bench.begin(inside).endpoint)
    bench.submit(replace(bench.restricted("r1", SOUTH), forwarded_by=sender))
    check_refused(bench, "r1", FORWARDED_OUTSIDE)


def test_backoffs_outside_of_the_home_regions_do_not_matter() -> None:
    """Endpoints that a call may not be sent to decide whether it waits."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.list_in(SOUTHERN_ZONE, "far")
    now = bench.clock.monotonic()
    bench.health_of("far").backoff.extend(timedelta(seconds=30), now)
    case.assertEqual("near", bench.begin(bench.restricted("r0", NORTH)).endpoint)
    bench.submit(bench.restricted("r1", SOUTH))
    case.assertEqual([], bench.dispatches("r1"))
    end = bench.concluded("r1")
    assert end.problem is not None
    case.assertIs(ProblemCode.OVERLOADED, end.problem.code)
    bench.let_go("far")
    bench.hold("far")
    bench.submit(bench.restricted("r2", SOUTH))
    case.assertIsNone(bench.conclusion("r2"))


def test_admission_goes_by_the_home_regions() -> None:
    """A call is admitted by a free endpoint that it may not be sent to, and waits."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.list_in(SOUTHERN_ZONE, "far")
    now = bench.clock.monotonic()
    context = Context(now, Random(1), bench.kernel.state)
    restricted = RequestRecord(bench.restricted("r0", SOUTH), now)
    free = RequestRecord(request_of(bench, "r1"), now)
    backoffs = bench.kernel.plugin(BackoffAdmission)
    bench.health_of("far").backoff.extend(timedelta(seconds=30), now)
    case.assertIsInstance(backoffs.review(restricted, context), Refuse)
    case.assertIsInstance(backoffs.review(free, context), Proceed)
    bench.let_go("far")
    slow = LimitStatement(1.0, now, now)
    bench.handle(RateLimitStated(EndpointId("far"), RequestId("r"), slow))
    share = bench.kernel.plugin(EndpointRateLimits).limited[EndpointId("far")]
    share.free_at = [now + timedelta(seconds=9)] * share.portion
    limits = bench.kernel.plugin(RateLimitAdmission)
    case.assertIsInstance(limits.review(restricted, context), Refuse)
    case.assertIsInstance(limits.review(free, context), Proceed)


def test_a_stricter_configuration_applies_to_calls_that_wait() -> None:
    """The operator restricts a route, and calls that had arrived leave its regions."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.list_in(SOUTHERN_ZONE, "far")
    bench.hold("near", "far")
    bench.submit(request_of(bench, "free"))
    bench.submit(bench.restricted("both", NORTH, SOUTH))
    bench.configure(free=frozenset({SOUTH}), both=frozenset({SOUTH}))
    bench.let_go("near")
    for name in ("free", "both"):
        case.assertEqual([], bench.dispatches(name))
    bench.let_go("far")
    bench.handle_after(timedelta(milliseconds=200), Tick())
    for name in ("free", "both"):
        targets = [each.endpoint for each in bench.dispatches(name)]
        case.assertEqual([EndpointId("far")], targets)


def test_a_less_strict_configuration_leaves_waiting_calls_their_restriction() -> None:
    """A call that arrived under a restriction is sent anywhere once it is lifted."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.list_in(SOUTHERN_ZONE, "far")
    bench.hold("far")
    bench.submit(bench.restricted("r0", SOUTH))
    bench.configure()
    bench.handle(Tick())
    case.assertEqual([], bench.dispatches("r0"))
    bench.let_go("far")
    case.assertEqual(EndpointId("far"), bench.dispatches("r0")[-1].endpoint)


def test_a_restriction_that_a_later_configuration_lifts_ends() -> None:
    """A call without restriction at its arrival keeps one that no longer exists."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.hold("near")
    request = request_of(bench, "r0")
    bench.submit(request)
    bench.configure(r0=frozenset({SOUTH}))
    case.assertEqual(frozenset({SOUTH}), bench.homes.regions_of(request))
    bench.configure()
    bench.let_go("near")
    case.assertEqual(EndpointId("near"), bench.dispatches("r0")[-1].endpoint)


def test_a_retry_obeys_the_configuration_of_its_time() -> None:
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    first = bench.begin(request_of(bench, "r0"))
    bench.list_in(SOUTHERN_ZONE, "far")
    bench.list_in(ZONE, "near-2", "near-3")
    bench.configure(r0=frozenset({SOUTH}))
    bench.fail(first)
    second = bench.retried(first)
    assert second is not None
    case.assertEqual(EndpointId("far"), second.endpoint)


def test_a_stricter_configuration_without_common_region_ends_the_call() -> None:
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.hold("near")
    bench.submit(bench.restricted("r0", NORTH))
    bench.configure(r0=frozenset({SOUTH}))
    bench.handle(Tick())
    check_refused(bench, "r0", NO_COMMON_REGION)


def test_changed_regions_of_zones_apply_to_the_next_attempt() -> None:
    """Settings are reloaded, and calls are still sent by the former regions."""
    bench = regional_bench()
    bench.list_in(ZONE, "near-1", "near-2")
    bench.list_in(SOUTHERN_ZONE, "far")
    first = bench.begin(bench.restricted("r0", NORTH))
    bench.homes.region_of_zone = {ZONE: RegionId("east"), SOUTHERN_ZONE: NORTH}
    bench.fail(first)
    second = bench.retried(first)
    assert second is not None
    case.assertEqual(EndpointId("far"), second.endpoint)


def test_ended_calls_leave_no_restriction_behind() -> None:
    """Memory grows with each restricted call, served or refused."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.finish(bench.begin(bench.restricted("served", NORTH)))
    bench.submit(bench.restricted("refused", SOUTH))
    bench.concluded("refused")
    bench.begin(request_of(bench, "open"))
    bench.configure(open=frozenset({NORTH}))
    case.assertEqual({"open"}, set(bench.homes.restricted))
    bench.finish(bench.dispatches("open")[-1])
    case.assertEqual({}, bench.homes.restricted)


load_tests = function_tests(__name__)
