"""Home regions of calls."""

from ..ids import RegionId
from .table import ApiKey, Route, RoutingTable


def home_regions(
    table: RoutingTable, route: Route, key: ApiKey | None
) -> frozenset[RegionId] | None:
    """Return the home regions of a call; None for no restriction.

    The restriction of an account applies to all calls with its key, on public routes
    too.

    Parameters
    ----------
    key : ApiKey or None
        As the caller stated it, valid or not.
    """
    if not table.restricts_regions:
        return None
    account = None if key is None else table.account_of(key)
    return common_regions(
        route.home_regions or None,
        None if account is None else account.home_regions or None,
    )


def common_regions(
    first: frozenset[RegionId] | None, second: frozenset[RegionId] | None
) -> frozenset[RegionId] | None:
    """Return the regions that two restrictions allow; None if there is neither."""
    if first is None:
        return second
    return first if second is None else first & second
