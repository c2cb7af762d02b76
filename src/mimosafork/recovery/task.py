"""Task that lists and frees holdings over HTTP."""

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from logging import getLogger
from urllib.parse import quote, urlencode

import msgspec

from ..ids import Incarnation, InstanceId
from ..kernel.messages.base import Message
from ..kernel.messages.recovery import (
    FreeHolding,
    Holding,
    HoldingKind,
    HoldingsListed,
    ListHoldings,
)
from ..network.decoding import UNDECODABLE
from ..network.errors import NetworkError
from ..network.ports import Http
from ..runtime.task import Task
from ..telemetry.catalogue.orders import HOLDING_FREED
from ..telemetry.logs import log_event

logger = getLogger(__name__)

CALL_TIMEOUT = timedelta(seconds=2)
OK = HTTPStatus.OK
FREED = HTTPStatus.NO_CONTENT


class _OwnerBody(msgspec.Struct, frozen=True):
    instance: str
    incarnation: int


class _HoldingBody(msgspec.Struct, frozen=True):
    kind: HoldingKind
    id: str
    owner: _OwnerBody
    tokens: int
    expires_s: float


class _ListBody(msgspec.Struct, frozen=True):
    holdings: tuple[_HoldingBody, ...] = ()


class CleaningTask(Task[ListHoldings | FreeHolding]):
    """Carries out `ListHoldings` and `FreeHolding`, one call at a time.

    A failed call is not retried: the next listing shows what is left.

    Parameters
    ----------
    http : Http
    send_to_kernel : callable
        Takes `HoldingsListed`; must not block, like `KernelTask.send`.
    """

    def __init__(self, http: Http, send_to_kernel: Callable[[Message], None]) -> None:
        super().__init__("cleaning")
        self.http = http
        self.send_to_kernel = send_to_kernel

    def receive(self, message: ListHoldings | FreeHolding) -> None:
        """Make the call; report a listing, and log what was freed."""
        try:
            if isinstance(message, ListHoldings):
                self._list(message)
            else:
                self._free(message)
        except NetworkError as error:
            logger.debug("engine %s did not answer: %s", message.endpoint, error)

    def _list(self, command: ListHoldings) -> None:
        path = "/v1/holdings"
        if command.owner is not None:
            path += "?" + urlencode({"owner": command.owner})
        answer = self.http.call("GET", command.address, path, timeout=CALL_TIMEOUT)
        if answer.status != OK:
            return
        try:
            body = msgspec.json.decode(answer.body, type=_ListBody)
        except UNDECODABLE as error:
            logger.debug(
                "engine %s returned invalid holdings: %s", command.endpoint, error
            )
            return
        holdings = tuple(_holding(each) for each in body.holdings)
        self.send_to_kernel(HoldingsListed(command.endpoint, holdings))

    def _free(self, command: FreeHolding) -> None:
        holding = command.holding
        path = f"/v1/holdings/{holding.kind.value}/{quote(holding.holding_id, '')}"
        answer = self.http.call("DELETE", command.address, path, timeout=CALL_TIMEOUT)
        if answer.status not in {OK, FREED}:
            return
        log_event(
            logger,
            HOLDING_FREED,
            kind=holding.kind.value,
            holding=holding.holding_id,
            owner=f"{holding.owner}/{holding.owner_incarnation}",
            endpoint=command.endpoint,
            why=command.reason.value,
        )


def _holding(body: _HoldingBody) -> Holding:
    return Holding(
        kind=body.kind,
        holding_id=body.id,
        owner=InstanceId(body.owner.instance),
        owner_incarnation=Incarnation(body.owner.incarnation),
        tokens=body.tokens,
        time_left=timedelta(seconds=body.expires_s),
    )
