"""A gateway's counters can be read from its metrics address while it serves."""

from contextlib import ExitStack

from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.telemetry.catalogue.gateway_metrics import (
    CALL_FIRST_PART_TIME,
    CALLS,
    CALLS_REFUSED,
    ENDPOINTS_KNOWN,
    MEMORY_RESERVED,
    ROWS_CALLS,
    TABLE_AGE,
    TABLE_VERSION,
)
from mimosafork.telemetry.catalogue.lifecycle import LOG_DROPS, LOG_LEFT_OUT
from mimosafork.telemetry.catalogue.scheduling import ACCOUNTS_TRACKED

from ..support.functions import function_tests
from ..support.gateway_processes import GatewayProcess, gateway_process
from ..support.prepared import API_KEY, DESKS, NoAnswerError, call, deployment
from ..support.waiting import eventually

KEY = f"Bearer {API_KEY}"


def page_of(started: GatewayProcess) -> str:
    """Return the metrics page; empty while it isn't served."""
    try:
        return call(started.metrics, "GET", "/metrics").body.decode()
    except (NoAnswerError, OSError):
        return ""


def test_page_counts_calls_and_tells_what_is_known() -> None:
    """A caller complains of a refusal, and the engineer looks at the metrics first.

    The page comes up a moment after the instance is ready. A served call and one
    without a route are counted there, beside what the instance knows.
    """
    with deployment() as platform, ExitStack() as stack:
        platform.add_desk(EndpointSettings(DESKS))
        started = stack.enter_context(gateway_process(platform))
        started.wait_until_ready()
        eventually(lambda: page_of(started) != "")
        eventually(lambda: started.ask("/safe/1", "w", Authorization=KEY).status == 200)
        assert started.ask("/nowhere", "x", Authorization=KEY).status == 404
        page = page_of(started)
        lines = page.splitlines()
        served = [x for x in lines if x.startswith(f"{CALLS.exposed_name}{{")]
        assert any('status="200"' in line for line in served)
        refused = [x for x in lines if x.startswith(f"{CALLS_REFUSED.exposed_name}{{")]
        assert any('reason="no-route"' in line for line in refused)
        for known in (
            CALL_FIRST_PART_TIME,
            ENDPOINTS_KNOWN,
            MEMORY_RESERVED,
            ROWS_CALLS,
            TABLE_AGE,
            TABLE_VERSION,
            LOG_DROPS,
            LOG_LEFT_OUT,
        ):
            assert known.exposed_name in page, known.name


def test_account_shares_follow_the_settings() -> None:
    """A deployment that asks for account shares gets the usual order, or the reverse.

    The settings are read, but the plug-in is not chosen by them.
    """
    assert shares_are_counted("other, pressure")
    assert not shares_are_counted("other")


def shares_are_counted(contracts: str) -> bool:
    """Return whether an instance with these contracts counts the work of accounts."""
    settings = f"\n[scheduling]\ncontracts = {contracts}"
    with deployment() as platform, ExitStack() as stack:
        platform.add_desk(EndpointSettings(DESKS))
        started = stack.enter_context(gateway_process(platform, bounds=settings))
        started.wait_until_ready()
        eventually(lambda: page_of(started) != "")
        eventually(lambda: started.ask("/safe/1", "w", Authorization=KEY).status == 200)
        return f"{ACCOUNTS_TRACKED.exposed_name}{{" in page_of(started)


load_tests = function_tests(__name__)
