"""Client and poller for the platform's list of instances, which lags behind."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta
from http import HTTPStatus
from logging import getLogger
from random import Random
from urllib.parse import quote

import msgspec
from msgspec import structs

from ..clock import Clock
from ..ids import (
    AvailabilityZoneId,
    EndpointId,
    Incarnation,
    InstanceId,
    ServiceId,
)
from ..kernel.messages.fleet import (
    EndpointEntry,
    EndpointKind,
    EntryInstance,
    InstancesListed,
    LifecycleState,
)
from ..network.addresses import is_callable_address
from ..network.decoding import UNDECODABLE
from ..network.errors import NetworkError
from ..network.http import Answer, HttpClient
from ..runtime.task import Task
from ..telemetry.catalogue.platform import LIST_ENTRY_REFUSED, LIST_STALE
from ..telemetry.logs import log_event
from .errors import PlatformError, StoreUnavailableError

logger = getLogger(__name__)

ENTRY_KIND = "entry"
JITTER = 0.2
FIRST_ERROR = 400
MAX_INCARNATION = 2**63 - 1
AGE_HEADER = "X-As-Of-S"

LIST_BYTES_PER_S = 8 * 1024
"""Sustained traffic limit of full lists; a node has 27 KB/s for all control traffic."""
LIST_BURST_BYTES = 1024 * 1024
"""Burst limit of full lists: several successive reads of the largest list."""


class ListedInstance(msgspec.Struct, frozen=True):
    """Wire format of one list entry."""

    id: str
    kind: str
    address: str
    availability_zone: str
    incarnation: int
    state: LifecycleState
    peer_address: str | None = None
    operations_address: str | None = None
    service: str | None = None


class ListDocument(msgspec.Struct, frozen=True):
    """Wire format of the list; each entry is decoded on its own."""

    instances: list[msgspec.Raw]
    as_of_s: msgspec.Raw = msgspec.Raw(b"0")


@dataclass(frozen=True, slots=True)
class ListReading:
    """Result of reading the list.

    Attributes
    ----------
    tag : str or None
        Entity tag of these entries; None if the platform sends none.
    size : int
        Bytes transferred; 0 if the list was unchanged.
    """

    listed: InstancesListed
    tag: str | None
    size: int


class InstanceListClient:
    """Reads the list and writes this instance's own entry; thread-safe.

    Parameters
    ----------
    http : HttpClient
    address : str
        ``IP:PORT`` of the instance list.
    """

    def __init__(self, http: HttpClient, address: str) -> None:
        self.http = http
        self.address = address

    def read(self) -> InstancesListed:
        """Return the list, which is stale by the platform's lag.

        Raises
        ------
        StoreUnavailableError
        """
        return self.read_if_changed(None).listed

    def read_if_changed(self, last: ListReading | None) -> ListReading:
        """Return the list, with a conditional request if `last` has a tag.

        At the design size a full list is 168 KB; read every second it would take
        six times a node's whole budget for control traffic.

        Raises
        ------
        StoreUnavailableError
        """
        headers = {}
        if last is not None and last.tag is not None:
            headers["If-None-Match"] = last.tag
        answer = self._call("GET", "/v1/instances", headers=headers)
        if answer.status == HTTPStatus.NOT_MODIFIED and last is not None:
            age = _seconds(answer.headers.get(AGE_HEADER))
            return replace(last, listed=structs.replace(last.listed, age=age), size=0)
        return _reading_of(answer)

    def register(self, entry: EntryInstance) -> None:
        """Create or update the entry of a gateway instance.

        Raises
        ------
        StoreUnavailableError
        """
        body = ListedInstance(
            id=entry.instance,
            kind=ENTRY_KIND,
            address=entry.address,
            availability_zone=entry.availability_zone,
            incarnation=entry.incarnation,
            state=entry.state,
            peer_address=entry.peer_address,
            operations_address=entry.operations_address or None,
        )
        self._call("PUT", f"/v1/instances/{quote(entry.instance, '')}", body)

    def remove(self, instance: InstanceId) -> None:
        """Remove an entry from the list.

        Raises
        ------
        StoreUnavailableError
        """
        self._call("DELETE", f"/v1/instances/{quote(instance, '')}")

    def _call(
        self,
        method: str,
        path: str,
        body: ListedInstance | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        try:
            answer = self.http.call(method, self.address, path, body, headers)
        except NetworkError as error:
            raise StoreUnavailableError(f"no instance list: {error}") from error
        if answer.status >= FIRST_ERROR:
            detail = f"the instance list answered {answer.status}"
            raise StoreUnavailableError(detail)
        return answer


def _reading_of(answer: Answer) -> ListReading:
    """Decode an answer that contains the full list.

    Raises
    ------
    StoreUnavailableError
        If it is not a list.
    """
    try:
        document = answer.decoded(ListDocument)
    except NetworkError as error:
        raise StoreUnavailableError(f"no instance list: {error}") from error
    age = _seconds(bytes(document.as_of_s).decode("latin-1"))
    tag = answer.headers.get("ETag")
    listed = convert_entries(document.instances)
    return ListReading(structs.replace(listed, age=age), tag, len(answer.body))


def _seconds(value: str | None) -> timedelta:
    """Return the age that the platform states for its list; zero if it states none."""
    try:
        return timedelta(seconds=max(0.0, float(value or 0)))
    except (ValueError, OverflowError):
        return timedelta(0)


def convert_entries(entries: Sequence[msgspec.Raw]) -> InstancesListed:
    """Convert wire entries; those that cannot be decoded are skipped.

    One entry of a newer platform, or of another writer, must not hide all others.
    """
    endpoints: list[EndpointEntry] = []
    instances: list[EntryInstance] = []
    for raw in entries:
        try:
            entry = _entry_of(msgspec.json.decode(raw, type=ListedInstance))
        except (*UNDECODABLE, ValueError) as error:
            log_event(logger, LIST_ENTRY_REFUSED, why=error)
            continue
        if isinstance(entry, EndpointEntry):
            endpoints.append(entry)
        else:
            instances.append(entry)
    return InstancesListed(tuple(endpoints), tuple(instances))


def _entry_of(listed: ListedInstance) -> EndpointEntry | EntryInstance:
    optional = (listed.peer_address, listed.operations_address)
    for address in (listed.address, *filter(None, optional)):
        if not is_callable_address(address):
            raise ValueError(f"{listed.id!a:.80} has the address {address!a:.80}")
    if not 0 <= listed.incarnation <= MAX_INCARNATION:
        raise ValueError(f"{listed.id!a:.80} has no possible incarnation")
    zone = AvailabilityZoneId(listed.availability_zone)
    if listed.kind == ENTRY_KIND:
        return EntryInstance(
            InstanceId(listed.id),
            listed.address,
            listed.peer_address or "",
            zone,
            Incarnation(listed.incarnation),
            listed.state,
            listed.operations_address or "",
        )
    return EndpointEntry(
        EndpointId(listed.id),
        EndpointKind(listed.kind),
        listed.address,
        zone,
        Incarnation(listed.incarnation),
        listed.state,
        ServiceId(listed.service) if listed.service is not None else None,
    )


class InstanceListPoller(Task[None]):
    """Polls the list and posts each result.

    While the list cannot be read nothing is posted, so that the last one stays in
    force: an outage of the platform must not look like the loss of all endpoints.

    Parameters
    ----------
    client : InstanceListClient
    clock : Clock
    random : random.Random
        Jitters the reads, so that instances do not read at the same time.
    period : timedelta
        Mean time between two reads.
    post : Callable
        Receives each list, in this task's thread.
    """

    def __init__(
        self,
        client: InstanceListClient,
        clock: Clock,
        random: Random,
        period: timedelta,
        post: Callable[[InstancesListed], None],
    ) -> None:
        super().__init__("instance-list")
        self.client = client
        self.clock = clock
        self.random = random
        self.period = period
        self.post = post
        self.next_read = clock.monotonic()
        self.last_read = clock.monotonic()
        self.reachable = True
        self.last: ListReading | None = None
        self.byte_budget = float(LIST_BURST_BYTES)
        self.budget_updated_at = clock.monotonic()

    def wait_time(self) -> timedelta:
        """Return the time until the next read."""
        return self.next_read - self.clock.monotonic()

    def idle(self) -> None:
        """Read the list, post it and schedule the next read."""
        spread = 1 + JITTER * (2 * self.random.random() - 1)
        self.next_read = self.clock.monotonic() + self.period * spread
        try:
            self.last = self.client.read_if_changed(self.last)
        except PlatformError:
            if self.reachable:
                age = self.clock.monotonic() - self.last_read
                log_event(logger, LIST_STALE, age_s=round(age.total_seconds(), 1))
            self.reachable = False
            return
        self.reachable = True
        self.last_read = self.clock.monotonic()
        self.post(self.last.listed)
        self._charge_bytes(self.last.size)

    def _charge_bytes(self, size: int) -> None:
        """Delay the next read if full lists exceed the byte budget.

        If the platform sends no tags, or the list changes every second while a rack
        is replaced, every read returns the full list. Endpoints that leave announce
        it themselves, so a delay only affects how soon new ones are found.
        """
        now = self.clock.monotonic()
        gained = (now - self.budget_updated_at).total_seconds() * LIST_BYTES_PER_S
        self.byte_budget = min(LIST_BURST_BYTES, self.byte_budget + gained) - size
        self.budget_updated_at = now
        if self.byte_budget < 0:
            debt = timedelta(seconds=-self.byte_budget / LIST_BYTES_PER_S)
            self.next_read = max(self.next_read, now + debt)

    def receive(self, message: None) -> None:
        """Ignore messages; none are sent to this task."""
