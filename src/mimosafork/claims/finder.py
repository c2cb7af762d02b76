"""The task that asks engines for a stream."""

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatchmethod
from http import HTTPStatus
from logging import getLogger
from urllib.parse import quote

from ..ids import RequestId
from ..kernel.messages.base import Effect, Message
from ..kernel.messages.claims import FindStream, StreamLocation, StreamSearched
from ..network.errors import NetworkError
from ..network.http import HttpClient
from ..runtime.task import Task
from ..telemetry.catalogue.claims import STREAM_NOT_SOUGHT
from ..telemetry.logs import log_event

logger = getLogger(__name__)

PROBES_AT_ONCE = 16
PROBE_TIMEOUT = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Probed:
    """One engine's answer, or silence, about one stream."""

    request_id: RequestId
    place: StreamLocation
    found: bool


@dataclass(slots=True)
class Search:
    """A search under way."""

    probes: list[Future[None]]
    left: int


class StreamFinder(Task[Effect | Probed]):
    """Looks for a stream at many engines at once; nothing is run by it.

    Parameters
    ----------
    http : HttpClient
    tell : Callable
        Sends a message to the kernel.
    """

    def __init__(self, http: HttpClient, tell: Callable[[Message], None]) -> None:
        super().__init__("stream-finder")
        self.http = http
        self.tell = tell
        self.searches: dict[RequestId, Search] = {}
        self.probes = ThreadPoolExecutor(PROBES_AT_ONCE, "stream-probe")

    def stop(self, *arguments: timedelta) -> None:
        """End the probes that have not begun, then the task."""
        self.probes.shutdown(wait=False, cancel_futures=True)
        super().stop(*arguments)

    @singledispatchmethod
    def receive(self, message: Effect | Probed) -> None:
        """Handle one message."""
        raise NotImplementedError(type(message).__name__)

    @receive.register
    def _(self, message: FindStream) -> None:
        places = places_of(message)
        if not places:
            self.tell(StreamSearched(message.request_id, None))
            return
        request_id = message.request_id
        probes = [self.probes.submit(self._probe, request_id, each) for each in places]
        self.searches[request_id] = Search(probes, len(places))

    @receive.register
    def _(self, message: Probed) -> None:
        search = self.searches.get(message.request_id)
        if search is None:
            return
        search.left -= 1
        if message.found:
            del self.searches[message.request_id]
            for probe in search.probes:
                probe.cancel()
            self.tell(StreamSearched(message.request_id, message.place))
        elif search.left == 0:
            del self.searches[message.request_id]
            self.tell(StreamSearched(message.request_id, None))

    def _probe(self, request_id: RequestId, place: StreamLocation) -> None:
        """Ask one engine, in a thread of the pool."""
        self.send(Probed(request_id, place, self._has_stream(place)))

    def _has_stream(self, place: StreamLocation) -> bool:
        path = f"/v1/streams/{quote(place.stream_id, '')}"
        try:
            status = self.http.status("GET", place.address, path, PROBE_TIMEOUT)
        except NetworkError as error:
            log_event(logger, STREAM_NOT_SOUGHT, endpoint=place.endpoint, why=error)
            return False
        return status == HTTPStatus.OK


def places_of(search: FindStream) -> list[StreamLocation]:
    """Return where to look, the likeliest first."""
    places = [search.noted] if search.noted is not None else []
    for stream_id in search.stream_ids:
        for each in search.endpoints:
            place = StreamLocation(
                stream_id, each.endpoint, each.incarnation, each.address
            )
            if place != search.noted:
                places.append(place)
    return places
