"""HTTP requests of attempts, by kind of endpoint."""

from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatch
from urllib.parse import quote

import msgspec

from ..kernel.context import InstanceIdentity
from ..kernel.messages.dispatch import Dispatch
from ..network.http import INSTANCE_HEADER
from .calls import EndpointCall, ModelCall, ServiceCall
from .segments import prompt_part

STREAMS_PATH = "/v1/streams"
REQUEST_ID_HEADER = "X-Request-Id"
ATTEMPT_HEADER = "X-Attempt"
DEADLINE_HEADER = "X-Deadline-Ms"


class OwnerMember(msgspec.Struct):
    """Owner of a stream on an engine."""

    instance: str
    incarnation: int


class StreamMember(msgspec.Struct):
    """Body of a call that starts a stream; see docs/PLATFORM.md."""

    stream_id: str
    attempt: int
    owner: OwnerMember
    model: str
    adapter: str | None
    prompt: str
    max_tokens: int
    priority: int
    deadline_ms: int
    offset: int
    imports: tuple[str, ...]
    imported_tokens: int
    export_kv: bool
    reservation: str | None


@dataclass(frozen=True, slots=True)
class WireRequest:
    """An HTTP request that is ready to be sent."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes | None


def stream_path(stream_id: str) -> str:
    """Return the path of one stream on its engine."""
    return f"{STREAMS_PATH}/{quote(stream_id, safe='')}"


@singledispatch
def wire_request(
    call: EndpointCall,
    dispatch: Dispatch,
    identity: InstanceIdentity,
    time_left: timedelta,
) -> WireRequest:
    """Return the HTTP request for a dispatch."""
    raise NotImplementedError(type(call).__name__)


@wire_request.register
def _(
    call: ModelCall,
    dispatch: Dispatch,
    identity: InstanceIdentity,
    time_left: timedelta,
) -> WireRequest:
    headers = {INSTANCE_HEADER: str(identity.instance)}
    if dispatch.attach:
        query = f"?offset={dispatch.offset}&attempt={dispatch.attempt}"
        path = stream_path(dispatch.stream_id) + query
        return WireRequest("GET", path, headers, None)
    member = StreamMember(
        stream_id=dispatch.stream_id,
        attempt=dispatch.attempt,
        owner=OwnerMember(identity.instance, identity.incarnation),
        model=call.model,
        adapter=call.adapter,
        prompt=prompt_part(call.prompt, dispatch.imported_tokens),
        max_tokens=call.max_tokens,
        priority=dispatch.priority,
        deadline_ms=milliseconds(time_left),
        offset=dispatch.offset,
        imports=tuple(dispatch.imports),
        imported_tokens=dispatch.imported_tokens,
        export_kv=False,
        reservation=dispatch.reservation,
    )
    headers["Content-Type"] = "application/json"
    return WireRequest("POST", STREAMS_PATH, headers, msgspec.json.encode(member))


@wire_request.register
def _(
    call: ServiceCall,
    dispatch: Dispatch,
    identity: InstanceIdentity,
    time_left: timedelta,
) -> WireRequest:
    headers = dict(call.headers)
    headers[INSTANCE_HEADER] = str(identity.instance)
    headers[REQUEST_ID_HEADER] = str(dispatch.request_id)
    headers[ATTEMPT_HEADER] = str(dispatch.attempt)
    headers[DEADLINE_HEADER] = str(milliseconds(time_left))
    return WireRequest(call.method, call.path, headers, call.body or None)


def milliseconds(duration: timedelta) -> int:
    """Return a duration in whole milliseconds, at least one."""
    return max(1, duration // timedelta(milliseconds=1))
