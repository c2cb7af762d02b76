"""Home regions of open calls under another configuration."""

from collections.abc import Mapping

from ..ids import RegionId, RequestId
from ..routing.regions import home_regions
from ..routing.table import RoutingTable
from .call import Call


class CallRegions:
    """Matches the requests of open calls with a routing table.

    Names of routes and accounts are not used, as a newer configuration may have another
    route for the same path.

    Parameters
    ----------
    calls : mapping of RequestId to Call
        Open calls.
    """

    def __init__(self, calls: Mapping[RequestId, Call]) -> None:
        self.calls = calls

    def under(
        self, request_id: RequestId, table: RoutingTable
    ) -> frozenset[RegionId] | None:
        """Return the home regions of a call under a table; None if it sets none."""
        call = self.calls.get(request_id)
        if call is None:
            return None
        head = call.message.head
        route = table.match(head.host, head.path)
        if route is None:
            return None
        return home_regions(table, route, call.metadata.key)
