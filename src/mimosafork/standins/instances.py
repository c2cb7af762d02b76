"""Stand-in for the platform's lagging list of instances."""

from dataclasses import dataclass
from enum import Enum
from functools import singledispatchmethod
from hashlib import blake2b
from http import HTTPStatus

import msgspec

from ..clock import Clock
from .base import Standin
from .errors import BadRequestError
from .faults import Fault, StaleReads
from .history import VersionedMap
from .http import Call, HttpAnswer, Router
from .http.messages import error_answer

DEFAULT_LAG_S = 1.0
AGE_HEADER = "X-As-Of-S"


class InstanceKind(Enum):
    """What a listed instance is."""

    ENTRY = "entry"
    MODEL_ENGINE = "model-engine"
    PLAIN_SERVICE = "plain-service"


class InstanceState(Enum):
    """Whether an instance stays."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One instance in the list.

    Parameters
    ----------
    peer_address : str or None
        Where an entry instance talks to its peers.
    operations_address : str or None
        Where an entry instance answers operators.
    service : str or None
        The name of a plain service.
    """

    id: str
    kind: InstanceKind
    address: str
    availability_zone: str
    incarnation: int
    state: InstanceState
    peer_address: str | None = None
    operations_address: str | None = None
    service: str | None = None


@dataclass(frozen=True, slots=True)
class InstancePage:
    """The list as it was `as_of_s` seconds ago."""

    as_of_s: float
    instances: list[ListedInstance]


class InstanceListStandin(Standin):
    """Instance list on HTTP.

    Parameters
    ----------
    clock : Clock
        Source of time.
    lag_s : float, default=1.0
        Age of what reads show, in seconds.
    """

    def __init__(self, clock: Clock, lag_s: float = DEFAULT_LAG_S) -> None:
        self.lag_s = lag_s
        self.extra_lag_s = 0.0
        self.instances: VersionedMap[ListedInstance] = VersionedMap()
        super().__init__(clock, "instance-list-standin")

    def add_routes(self, router: Router) -> None:
        """Add the routes of this system."""
        router.add("GET", "/v1/instances", self._list)
        router.add("PUT", "/v1/instances/{id}", self._put)
        router.add("DELETE", "/v1/instances/{id}", self._delete)

    @singledispatchmethod
    def apply_fault(self, fault: Fault) -> None:
        """Bring a fault into force."""
        super().apply_fault(fault)

    @apply_fault.register
    def _(self, fault: StaleReads) -> None:
        self.extra_lag_s = fault.seconds

    def clear_faults(self) -> None:
        """End the faults that last."""
        super().clear_faults()
        self.extra_lag_s = 0.0

    def _list(self, call: Call) -> HttpAnswer:
        age_s = self.lag_s + self.extra_lag_s
        at_s = self.loop.now_s() - age_s
        listed = []
        for key in self.instances.keys_from("", ""):
            instance = self.instances.get_at(key, at_s).value
            if instance is not None:
                listed.append(instance)
        return _page_answer(InstancePage(age_s, listed), call)

    def _put(self, call: Call) -> HttpAnswer:
        instance = call.request.decode(ListedInstance)
        if instance.id != call.values["id"]:
            raise BadRequestError("the body names another instance than the path")
        self.instances.put(instance.id, instance, self.loop.now_s())
        return HttpAnswer(HTTPStatus.NO_CONTENT)

    def _delete(self, call: Call) -> HttpAnswer:
        key = call.values["id"]
        if self.instances.get(key).value is None:
            return error_answer(HTTPStatus.NOT_FOUND, "no such instance")
        self.instances.put(key, None, self.loop.now_s())
        return HttpAnswer(HTTPStatus.NO_CONTENT)


def _page_answer(page: InstancePage, call: Call) -> HttpAnswer:
    """Answer with the list, or that the caller's is still the newest.

    The tag stands for the entries; the list's age goes in a header of its own, as
    it changes without them.
    """
    entries = msgspec.json.encode(page.instances)
    tag = f'"{blake2b(entries, digest_size=8).hexdigest()}"'
    headers = {"ETag": tag, AGE_HEADER: f"{page.as_of_s:.3f}"}
    if call.request.headers.get("if-none-match") == tag:
        return HttpAnswer(HTTPStatus.NOT_MODIFIED, headers=headers)
    return HttpAnswer(HTTPStatus.OK, msgspec.json.encode(page), headers)
