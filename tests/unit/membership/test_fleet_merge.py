"""Merge of the platform's list, endpoints' own reports and peers' reports."""

from datetime import timedelta

from mimosafork.ids import EndpointId, Incarnation
from mimosafork.kernel.fleet import Fleet
from mimosafork.kernel.messages.fleet import (
    EndpointEntry,
    InstancesListed,
    LifecycleState,
    LoadReport,
)
from tests.support.functions import function_tests
from tests.support.kernels import engine_entry, load_report

E1 = EndpointId("e1")


def test_draining_report_overrides_lagging_list() -> None:
    """The platform drains an endpoint; its list shows it live for 30 s more.

    Requests sent there in that time would be refused, or break off when it stops.
    """
    fleet = _fleet()
    fleet.apply_report(_report(2, draining=True), _at(10), own=True)

    for second in range(11, 40):
        fleet.apply_list(_listed(engine_entry("e1")), _at(second))
        assert not fleet.endpoints[E1].accepts_new_requests(_at(second))


def test_leaving_in_list_overrides_endpoint_report() -> None:
    fleet = _fleet()
    fleet.apply_list(_listed(_leaving(1)), _at(10))

    fleet.apply_report(_report(2), _at(11), own=True)

    assert not fleet.endpoints[E1].accepts_new_requests(_at(11))


def test_new_incarnation_is_used_while_list_shows_previous_one() -> None:
    fleet = _fleet()
    fleet.apply_list(_listed(_leaving(1)), _at(10))

    fleet.apply_report(_report(1, incarnation=2), _at(11), own=True)
    fleet.apply_list(_listed(_leaving(1)), _at(12))

    endpoint = fleet.endpoints[E1]
    assert endpoint.accepts_new_requests(_at(12))
    assert endpoint.entry.incarnation == 2


def test_report_of_previous_incarnation_is_ignored() -> None:
    fleet = _fleet()
    fleet.apply_list(_listed(engine_entry("e1", incarnation=2)), _at(10))

    assert not fleet.apply_report(_report(99, draining=True), _at(11), own=False)
    assert fleet.endpoints[E1].accepts_new_requests(_at(11))


def test_older_list_does_not_restore_removed_endpoint() -> None:
    """The platform answers from two copies, one of them a minute behind.

    Every other read would restore an endpoint that has been removed.
    """
    fleet = _fleet()
    fleet.apply_list(_listed(engine_entry("e2")), _at(100))

    older = _listed(engine_entry("e1"), engine_entry("e2"), age=timedelta(minutes=1))
    fleet.apply_list(older, _at(101))

    assert set(fleet.endpoints) == {"e2"}


def test_empty_list_is_ignored() -> None:
    """The platform recovers from an outage without its entries.

    Applied as it is, its empty list would stop all work in every zone, although all
    endpoints still answer.
    """
    fleet = _fleet()

    fleet.apply_list(_listed(), _at(10))

    assert fleet.endpoints[E1].accepts_new_requests(_at(10))


def test_drain_refusal_overrides_older_report() -> None:
    """An endpoint refuses a request as draining; its load report lags by 2 s.

    The next report still shows it as not draining. If that report were applied, the
    endpoint would get requests until its reports caught up.
    """
    fleet = _fleet()
    fleet.mark_draining(E1, _at(10))

    fleet.apply_report(_report(2, lag_s=2.0), _at(11), own=True)
    assert not fleet.endpoints[E1].accepts_new_requests(_at(11))

    fleet.apply_report(_report(3, lag_s=2.0), _at(13), own=True)
    assert fleet.endpoints[E1].accepts_new_requests(_at(13))


def test_newest_reachability_observation_wins() -> None:
    fleet = _fleet()
    fleet.apply_report(_report(2), _at(10), own=False)

    fleet.apply_failure(E1, _at(9), own=False)
    assert fleet.endpoints[E1].accepts_new_requests(_at(10))
    fleet.apply_failure(E1, _at(11), own=False)
    assert not fleet.endpoints[E1].accepts_new_requests(_at(11))
    fleet.apply_report(_report(3), _at(12), own=False)
    assert fleet.endpoints[E1].accepts_new_requests(_at(12))


def test_peer_reports_do_not_override_own_probe_failures() -> None:
    """One instance is cut off from an endpoint that its peers reach.

    Each of their reports would make it usable here again, and every second some
    requests would be sent to the unreachable endpoint.
    """
    fleet = _fleet()
    for second in range(10, 20):
        fleet.apply_failure(E1, _at(second), own=True)
        fleet.apply_report(_report(second), _at(second + 0.5), own=False)
        assert not fleet.endpoints[E1].accepts_new_requests(_at(second + 0.5))

    fleet.apply_report(_report(30), _at(21), own=True)
    assert fleet.endpoints[E1].accepts_new_requests(_at(21))


def test_formerly_watched_endpoint_recovers_through_peer_reports() -> None:
    fleet = _fleet()
    fleet.apply_failure(E1, _at(10), own=True)

    fleet.apply_report(_report(2), _at(16), own=False)

    assert fleet.endpoints[E1].accepts_new_requests(_at(16))


def test_unchanged_report_still_shows_that_the_endpoint_answers() -> None:
    fleet = _fleet()
    fleet.apply_failure(E1, _at(10), own=True)

    fleet.apply_report(_report(1), _at(11), own=True)

    assert fleet.endpoints[E1].accepts_new_requests(_at(11))


def test_restart_without_a_new_incarnation_is_noticed() -> None:
    """A plain service restarts and numbers its reports from one again.

    Ordered by number alone its reports would be ignored for hours, and a "draining"
    from before the restart would remain in effect as long.
    """
    fleet = _fleet()
    fleet.apply_report(_report(9_000, draining=True), _at(10), own=True)

    fleet.apply_report(_report(1), _at(20), own=True)

    assert fleet.endpoints[E1].accepts_new_requests(_at(20))


def _fleet() -> Fleet:
    fleet = Fleet()
    fleet.apply_list(_listed(engine_entry("e1")), _at(0))
    fleet.apply_report(_report(1), _at(0), own=True)
    return fleet


def _listed(*entries: EndpointEntry, age: timedelta = timedelta(0)) -> InstancesListed:
    return InstancesListed(entries, (), age)


def _leaving(incarnation: int) -> EndpointEntry:
    entry = engine_entry("e1", incarnation=incarnation)
    return EndpointEntry(
        entry.endpoint,
        entry.kind,
        entry.address,
        entry.availability_zone,
        entry.incarnation,
        LifecycleState.LEAVING,
    )


def _report(
    sequence: int, incarnation: int = 1, draining: bool = False, lag_s: float = 0.0
) -> LoadReport:
    idle = load_report("e1", sequence)
    return LoadReport(
        endpoint=idle.endpoint,
        incarnation=Incarnation(incarnation),
        sequence=sequence,
        lag=timedelta(seconds=lag_s),
        running=0,
        waiting=0,
        waiting_prefill_tokens=0,
        kv_used=0,
        kv_capacity=idle.kv_capacity,
        prefill_rate=idle.prefill_rate,
        models=idle.models,
        draining=draining,
    )


def _at(seconds: float) -> timedelta:
    return timedelta(seconds=seconds)


load_tests = function_tests(__name__)
