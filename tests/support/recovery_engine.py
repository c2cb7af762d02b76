"""A simulated engine that runs streams, holds memory and takes orders.

Its time is virtual.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import msgspec
import urllib3

from mimosafork.ids import Digest, EndpointId, Incarnation, InstanceId
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.fleet import (
    EndpointEntry,
    EndpointKind,
    FencingMode,
    LifecycleState,
    LoadReport,
)
from mimosafork.network.http import Answer

from .kernels import MODEL, ZONE

PREFILL_TIME = timedelta(milliseconds=500)
RUN_TIME = timedelta(seconds=6)
LOAD_TIME = timedelta(seconds=8)


@dataclass(slots=True)
class Stream:
    """A stream, which runs on whether or not it is read."""

    dispatch: Dispatch
    owner: InstanceId
    owner_incarnation: Incarnation
    body: Digest
    started_at: timedelta

    def holding(self, now: timedelta) -> dict[str, Any]:
        """Return the stream as an entry of the engine's holdings."""
        return {
            "kind": "stream",
            "id": self.dispatch.stream_id,
            "owner": {"instance": self.owner, "incarnation": self.owner_incarnation},
            "tokens": 100,
            "expires_s": (self.dispatch.deadline - now).total_seconds(),
        }


@dataclass(slots=True)
class WorldEngine:
    """Simulated engine with the API of docs/PLATFORM.md.

    Attributes
    ----------
    models : dict of str to timedelta
        Time from which each version is ready.
    freed : list of Stream
        Streams that others than the engine or their owner have freed.
    observed_crashes : list of set
        For each crash, the bodies in progress whose instance observed it.
    late_orders : int
        Accepted orders with an older fencing number than an earlier one.
    """

    name: str
    mode: FencingMode
    incarnation: int = 1
    sequence: int = 0
    up_at: timedelta = timedelta(0)
    cut_until: timedelta = timedelta(0)
    models: dict[str, timedelta] = field(default_factory=dict)
    fencing: int = 0
    late_orders: int = 0
    streams: dict[str, Stream] = field(default_factory=dict)
    started: set[str] = field(default_factory=set)
    freed: list[Stream] = field(default_factory=list)
    observed_crashes: list[set[Digest]] = field(default_factory=list)
    loads: list[timedelta] = field(default_factory=list)

    @property
    def entry(self) -> EndpointEntry:
        """The entry in the platform's list, which shows the first incarnation only."""
        return EndpointEntry(
            EndpointId(self.name),
            EndpointKind.MODEL_ENGINE,
            self.name,
            ZONE,
            Incarnation(1),
            LifecycleState.LIVE,
        )

    def answers(self, now: timedelta) -> bool:
        """Return whether it can be reached."""
        return now >= self.up_at and now >= self.cut_until

    def ready_versions(self, now: timedelta) -> set[str]:
        """Return the versions that are ready."""
        return {version for version, at in self.models.items() if at <= now}

    def report(self) -> LoadReport:
        """Return its next load report."""
        self.sequence += 1
        return LoadReport(
            endpoint=EndpointId(self.name),
            incarnation=Incarnation(self.incarnation),
            sequence=self.sequence,
            lag=timedelta(milliseconds=100),
            running=len(self.streams),
            waiting=0,
            waiting_prefill_tokens=0,
            kv_used=100 * len(self.streams),
            kv_capacity=100_000,
            prefill_rate=10_000.0,
            models=(MODEL,),
            draining=False,
            fencing=self.mode,
        )

    def crash(self, now: timedelta, down: timedelta) -> list[Stream]:
        """Crash and start a new incarnation; return the streams that are lost."""
        lost = list(self.streams.values())
        self.streams.clear()
        self.incarnation += 1
        self.sequence = 0
        self.up_at = now + down
        return lost

    def call(self, method: str, path: str, body: Any, now: timedelta) -> Answer:
        """Handle a short call."""
        if path == "/v1/orders":
            return self._order(msgspec.to_builtins(body), now)
        if path == "/v1/state":
            return self._state(now)
        if method == "DELETE":
            stream = self.streams.pop(path.rsplit("/", 1)[1], None)
            if stream is not None:
                self.freed.append(stream)
            return answer(200, {})
        holdings = [stream.holding(now) for stream in self.streams.values()]
        return answer(200, {"incarnation": self.incarnation, "holdings": holdings})

    def _order(self, body: dict[str, Any], now: timedelta) -> Answer:
        if body["fencing"] < self.fencing:
            if self.mode is FencingMode.CHECKED:
                return answer(409, {"refused": "stale-fencing", "detail": ""})
            self.late_orders += 1
        self.fencing = max(self.fencing, body["fencing"])
        version = body["version"]
        if body["kind"] == "unload-model":
            self.models.pop(version, None)
        elif version not in self.models:
            self.models[version] = now + LOAD_TIME
            self.loads.append(now)
        return answer(200, {"accepted": True})

    def _state(self, now: timedelta) -> Answer:
        models = [
            {
                "model": MODEL,
                "version": version,
                "state": "ready" if at <= now else "loading",
            }
            for version, at in self.models.items()
        ]
        body = {"incarnation": self.incarnation, "models": models, "adapters": []}
        return answer(200, body)


def answer(status: int, body: Any) -> Answer:
    """Return an HTTP answer with a JSON body."""
    return Answer(status, urllib3.HTTPHeaderDict(), msgspec.json.encode(body))
