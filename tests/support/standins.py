"""Running stand-ins in the test's process, and calling them."""

import json
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any, TypeVar

import urllib3

from mimosafork.clock import SystemClock
from mimosafork.standins import EngineSettings, EngineStandin, Standin

TIMEOUT_S = 10.0
Answer = TypeVar("Answer")
OWNER = {"instance": "entry-1", "incarnation": 1}


@dataclass
class Caller:
    """Calls one stand-in as the instance `instance`."""

    address: str
    instance: str = "entry-1"
    pool: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(total=TIMEOUT_S)
        )
    )

    def call(self, method: str, path: str, **options: Any) -> Any:
        """Call and return urllib3's answer."""
        headers = {"X-Instance": self.instance, **options.pop("headers", {})}
        url = f"http://{self.address}{path}"
        return self.pool.request(method, url, headers=headers, **options)

    def get(self, path: str) -> Any:
        """Return the JSON of a GET that must succeed."""
        answer = self.call("GET", path)
        assert answer.status == 200, (answer.status, answer.data)
        return answer.json()

    def fault(self, **fault: Any) -> None:
        """Bring about a fault by HTTP."""
        answer = self.call("POST", "/faults", json=fault)
        assert answer.status == 204, answer.data

    def start(self, stream_id: str, prompt: str = "hello", **members: Any) -> Any:
        """Start a stream and return the answer, its body not yet read."""
        body = {
            "stream_id": stream_id,
            "attempt": 1,
            "owner": OWNER,
            "model": "demo",
            "prompt": prompt,
            "max_tokens": 5,
            "deadline_ms": 10_000,
            **members,
        }
        return self.call("POST", "/v1/streams", json=body, preload_content=False)

    def attach(self, stream_id: str, offset: int = 0, attempt: int = 1) -> Any:
        """Attach to a stream and return the answer, its body not yet read."""
        path = f"/v1/streams/{stream_id}?offset={offset}&attempt={attempt}"
        return self.call("GET", path, preload_content=False)

    def journal(self) -> list[dict[str, Any]]:
        """Return the entries of the journal."""
        entries: list[dict[str, Any]] = self.get("/journal")["entries"]
        return entries


@contextmanager
def running(standin: Standin) -> Iterator[Caller]:
    """Run a stand-in and give a caller of it."""
    caller = Caller(standin.start())
    try:
        yield caller
    finally:
        caller.pool.clear()
        standin.stop()


@contextmanager
def running_engine(settings: EngineSettings) -> Iterator[tuple[EngineStandin, Caller]]:
    """Run an engine stand-in and give it with a caller of it."""
    engine = EngineStandin(settings, SystemClock())
    with running(engine) as caller:
        yield engine, caller


def events(answer: Any) -> Iterator[dict[str, Any]]:
    """Read a stream's events one by one, without the closing `[DONE]`."""
    unread = b""
    for chunk in answer.stream(65536):
        unread += chunk
        while b"\n\n" in unread:
            event, _, unread = unread.partition(b"\n\n")
            data = event.removeprefix(b"data: ")
            if data != b"[DONE]":
                yield json.loads(data)
    assert not unread, unread


def whole(answer: Any) -> tuple[str, dict[str, Any]]:
    """Read a stream to its end; return its text and its last event."""
    assert answer.status == 200, answer.data
    text = ""
    finish: dict[str, Any] = {}
    for event in events(answer):
        if "finish" in event:
            finish = event
        else:
            text += event["text"]
    return text, finish


def assert_breaks(call: Callable[[], object]) -> None:
    """Check that a call ends with a broken or refused connection."""
    try:
        call()
    except urllib3.exceptions.HTTPError:
        return
    raise AssertionError("the connection did not break")


def once_back(standin: Standin, call: Callable[[], Answer]) -> Answer:
    """Call a stand-in that has crashed, once it says that it listens again.

    Guard: how often a caller is refused says nothing of how long that took. A number
    of tries is spent in a tenth of a second, while the stand-in's loop waits for the
    processor; so its own word is waited for, and the call must succeed at once.
    """
    standin.wait_until_listening()
    return call()
