"""Callers that keep connections open, and retry as the platform's pages say."""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from mimosafork.standins.prepared.words import (
    AUTHORIZATION,
    DEADLINE_MS,
    LAST_EVENT_ID,
    REQUEST_ID,
    TOKEN_USAGE,
)

from .prepared import API_KEY, CallResult, Channel, NoAnswerError, request_bytes

PROMISES = frozenset({408, 421, 429, 503})
PATHS = ("/unsafe/1", "/unsafe/1", "/unsafe/2", "/stream/1", "/stream/1") + (
    "/safe/1",
    "/resume/1",
)
DEADLINES_MS = (400, 1000, 2000, 4000)
MAX_RETRIES = 2
GIVE_UP_SHARE = 0.06
SLOW_BODY_SHARE = 0.04
RESET_SHARE = 0.5
KEPT_SHARE = 0.8
HUGE_SHARE = 0.05
HUGE_PROMPT = "700000,60"
"""Memory is reserved for it on several engines."""

FAILURE_PAUSE_S = 0.03
"""Keeps callers from using all of their time on an instance that is down."""

BODY = b"a letter to the council, to be filed once"


@dataclass(frozen=True, slots=True)
class CallRecord:
    """What a caller got for one of its attempts, each of which has its own id.

    Attributes
    ----------
    status : int
        0 if the connection ended without an answer, or the caller left.
    """

    request_id: str
    path: str
    status: int
    complete: bool


@dataclass
class RetryingCaller:
    """One caller after another in a thread.

    Attributes
    ----------
    fronts : callable
        Returns the addresses of the instances.
    over : threading.Event
        Ends the calls.
    kept : dict of str to Channel
        Open connections by address, used until the instance closes them.
    """

    fronts: Callable[[], list[str]]
    random: Random
    numbers: Iterator[int]
    over: threading.Event
    records: list[CallRecord] = field(default_factory=list)
    kept: dict[str, Channel] = field(default_factory=dict)

    def run(self) -> None:
        """Call until it is over."""
        while not self.over.is_set():
            self._call()
        for channel in self.kept.values():
            channel.hang_up()

    def _call(self) -> None:
        """Make a call, and retry it as a caller may."""
        path = self.random.choice(PATHS)
        left_s = self.random.choice(DEADLINES_MS) / 1000
        end_s = time.monotonic() + left_s
        address = self.random.choice(self.fronts())
        last_event = 0
        for attempt in range(1 + MAX_RETRIES):
            left_s = end_s - time.monotonic()
            if left_s < 0.05 or self.over.is_set():
                return
            result = self._attempt(address, path, left_s, attempt > 0, last_event)
            repeatable = not path.startswith(("/unsafe/", "/stream/"))
            if result is None and not repeatable:
                return
            if result is not None:
                if result.status in range(200, 300) and result.complete:
                    return
                if result.status not in PROMISES and not repeatable:
                    return
                if result.events and path.startswith("/resume/"):
                    last_event = result.events[-1].number
                self._wait_before_retry(result, end_s)
            address = self.random.choice(self.fronts())

    def _wait_before_retry(self, result: CallResult, end_s: float) -> None:
        stated_s = float(result.headers.get("retry-after", "0") or 0)
        longest_s = max(0.0, (end_s - time.monotonic()) / 3)
        self.over.wait(min(stated_s, longest_s))

    def _attempt(
        self, address: str, path: str, left_s: float, anew: bool, last_event: int
    ) -> CallResult | None:
        """Send one attempt; None if the connection ended without an answer."""
        name = f"h{next(self.numbers)}"
        headers = {
            REQUEST_ID: name,
            DEADLINE_MS: str(int(left_s * 1000)),
            AUTHORIZATION: f"Bearer {API_KEY}",
        }
        if path == "/stream/1" and self.random.random() < HUGE_SHARE:
            headers[TOKEN_USAGE] = HUGE_PROMPT
        if last_event:
            headers[LAST_EVENT_ID] = str(last_event)
        result = None
        try:
            channel = self._channel(address, left_s + 1.0, anew)
            result = self._exchange(channel, path, headers)
        except (OSError, NoAnswerError, ValueError):
            self._drop(address)
            self.over.wait(FAILURE_PAUSE_S)
        status = result.status if result is not None else 0
        complete = result is not None and result.complete
        self.records.append(CallRecord(name, path, status, complete))
        if result is None or not complete or closes(result):
            self._drop(address)
        return result

    def _channel(self, address: str, timeout_s: float, anew: bool) -> Channel:
        if anew or self.random.random() > KEPT_SHARE:
            self._drop(address)
        if address not in self.kept:
            self.kept[address] = Channel(address, timeout_s)
        channel = self.kept[address]
        channel.socket.settimeout(timeout_s)
        return channel

    def _drop(self, address: str) -> None:
        channel = self.kept.pop(address, None)
        if channel is not None:
            with suppress(OSError):
                channel.hang_up()

    def _exchange(
        self, channel: Channel, path: str, headers: dict[str, str]
    ) -> CallResult | None:
        chunked = self.random.random() < 0.2
        data = request_bytes("POST", path, headers, BODY, chunked)
        if self.random.random() < SLOW_BODY_SHARE:
            channel.send_bytes(data[:-10])
            self.over.wait(self.random.uniform(0.01, 0.3))
            data = data[-10:]
        channel.send_bytes(data)
        if self.random.random() < GIVE_UP_SHARE:
            self.over.wait(self.random.uniform(0.0, 0.3))
            channel.hang_up(reset=self.random.random() < RESET_SHARE)
            raise NoAnswerError("the caller has left")
        return channel.read_answer()


def closes(result: CallResult) -> bool:
    """Return whether the instance closes the connection after a response."""
    return result.headers.get("connection") == "close"
