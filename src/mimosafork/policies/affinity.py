"""Estimates which endpoints have a prefix of a prompt in their KV cache.

This instance's own dispatches are known at once; those of other instances come
from the cache index, late and with gaps. A wrong estimate costs time but never
gives a wrong answer, so no endpoint is queried and nothing waits for an update.
"""

from collections import OrderedDict
from datetime import timedelta
from functools import singledispatchmethod

from ..ids import Digest, EndpointId, RequestId
from ..kernel.context import Context
from ..kernel.fleet import Endpoint
from ..kernel.messages.attempts import FirstToken
from ..kernel.messages.base import Message
from ..kernel.messages.requests import Request
from ..kernel.plugins import Plugin, PluginFinder
from ..kernel.registry import register
from .cache_index import CacheIndex

MAX_PREFIX_MARKS = 8192
"""Prefix marks that are kept; the oldest are evicted first. About 200 bytes each."""

PREFIX_TTL = timedelta(minutes=3)
"""A cache under memory pressure has evicted a prefix that was unused for this time."""


@register("prefix-affinity")
class PrefixAffinity(Plugin):
    """Remembers where this instance's own prompts were prefilled."""

    def __init__(self) -> None:
        self.places: OrderedDict[Digest, dict[EndpointId, timedelta]] = OrderedDict()
        self.index: CacheIndex | None = None

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the index of prefixes that other instances have sent."""
        self.index = find(CacheIndex)

    def holders(self, request: Request, now: timedelta) -> dict[EndpointId, int]:
        """Return the endpoints that may have cached a prefix, with its length."""
        found: dict[EndpointId, int] = {}
        if self.index is not None and request.prefix_marks:
            found = self.index.holders(request.prefix_marks)
        for mark in reversed(request.prefix_marks):
            for endpoint, seen_at in self.places.get(mark.digest, {}).items():
                if now - seen_at <= PREFIX_TTL:
                    found[endpoint] = max(mark.tokens, found.get(endpoint, 0))
        return found

    def forget(self, endpoint: Endpoint) -> None:
        """Drop the prefixes of an endpoint that has restarted."""
        for places in self.places.values():
            places.pop(endpoint.endpoint_id, None)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Record where prompts were prefilled."""

    @handle.register
    def _(self, message: FirstToken, context: Context) -> None:
        record = context.state.requests.get(RequestId(message.request_id))
        if record is None or record.current is None:
            return
        if record.current.number != message.attempt:
            return
        for mark in record.request.prefix_marks:
            places = self.places.setdefault(mark.digest, {})
            places[record.current.endpoint] = context.now
            self.places.move_to_end(mark.digest)
        while len(self.places) > MAX_PREFIX_MARKS:
            self.places.popitem(last=False)
