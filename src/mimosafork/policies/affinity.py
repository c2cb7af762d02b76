"""Which endpoints probably have the beginning of a prompt in their cache.

What this instance has sent itself is known at once; what others have sent comes
from the cache index, late and with gaps. Being wrong costs time, never a wrong
answer, so nothing is asked and nothing is waited for.
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
"""Prefix marks that are kept; the oldest go first. About 200 bytes each."""

PREFIX_TTL = timedelta(minutes=3)
"""A cache under pressure has lost a prefix that nobody used for so long."""


@register("prefix-affinity")
class PrefixAffinity(Plugin):
    """Remembers where this instance's own prompts were prefilled."""

    def __init__(self) -> None:
        self.places: OrderedDict[Digest, dict[EndpointId, timedelta]] = OrderedDict()
        self.index: CacheIndex | None = None

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Keep the plug-in that hears of what others have sent."""
        self.index = find(CacheIndex)

    def holders(self, request: Request, now: timedelta) -> dict[EndpointId, int]:
        """Return the endpoints that may have a beginning, with its length."""
        found: dict[EndpointId, int] = {}
        if self.index is not None and request.prefix_marks:
            found = self.index.holders(request.prefix_marks)
        for mark in reversed(request.prefix_marks):
            for endpoint, seen_at in self.places.get(mark.digest, {}).items():
                if now - seen_at <= PREFIX_TTL:
                    found[endpoint] = max(mark.tokens, found.get(endpoint, 0))
        return found

    def forget(self, endpoint: Endpoint) -> None:
        """Drop what was known of an endpoint that has begun a new life."""
        for places in self.places.values():
            places.pop(endpoint.endpoint_id, None)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Learn from what happens."""

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
