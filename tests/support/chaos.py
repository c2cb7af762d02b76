"""Concurrent callers of real processes, with fault injection."""

import json
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Any

import urllib3

from mimosafork.endpoints.calls import ModelCall
from mimosafork.ids import AccountId, ModelId, RequestId
from mimosafork.kernel.messages.requests import Request, RequestKind
from mimosafork.policies.claims.keys import stream_base_of
from mimosafork.server.prompts import call_digest
from tests.support.calls import Client, StreamedText, events, take_event
from tests.support.history import Ending, History, Operation, Work
from tests.support.processes import Cluster, ProcessError

DEADLINE_S = 6.0
MODEL_SHARE = 0.75
NON_IDEMPOTENT_SHARE = 0.6
STREAMED_SHARE = 0.7
RESEND_SHARE = 0.35
MAX_RESUMES = 3
RETRY_DELAY_S = 0.1
"""Between a rejection or a broken answer and the next call; well below any
Retry-After."""

SERVICE_PATH = "/services/filings/drafts/"


@dataclass
class ChaosRun:
    """Concurrent callers and injected faults on one cluster.

    Parameters
    ----------
    engines, entries : tuple of str
        Names of the processes that faults are injected into.
    """

    cluster: Cluster
    engines: tuple[str, ...]
    entries: tuple[str, ...]
    random: Random
    history: History = field(default_factory=History)
    over: threading.Event = field(default_factory=threading.Event)
    disruptions: Counter[str] = field(default_factory=Counter)
    fault_counts: Counter[str] = field(default_factory=Counter)
    issued_work: list[Work] = field(default_factory=list)
    serial: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)
    errors: list[BaseException] = field(default_factory=list)

    def run(self, seconds: float, callers: int) -> None:
        """Call and inject faults for some time, then heal all and finish the calls."""
        seeds = [self.random.getrandbits(32) for _ in range(callers)]
        threads = [
            threading.Thread(
                target=self._guarded, args=(self._run_caller, Random(seed))
            )
            for seed in seeds
        ]
        for thread in threads:
            thread.start()
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            self._inject_fault()
            self.over.wait(self.random.uniform(0.3, 1.2))
        self.heal()
        self.over.set()
        for thread in threads:
            thread.join()
        if self.errors:
            raise self.errors[0]

    def _guarded(self, work: Callable[[Random], None], random: Random) -> None:
        try:
            work(random)
        except BaseException as error:
            self.errors.append(error)

    # Callers.

    def _run_caller(self, random: Random) -> None:
        while not self.over.is_set():
            work = self._next_work(random)
            self._call(work, random)

    def _next_work(self, random: Random) -> Work:
        """Return new work, or some that has been requested before."""
        with self.lock:
            if self.issued_work and random.random() < RESEND_SHARE:
                return random.choice(self.issued_work[-12:])
            self.serial += 1
            name = f"key-{self.serial}"
            once = random.random() < NON_IDEMPOTENT_SHARE
            tokens = random.randint(5, 60) if random.random() < MODEL_SHARE else 0
            work = Work(name, f"letter {self.serial}", tokens, once or not tokens)
            self.issued_work.append(work)
            return work

    def _call(self, work: Work, random: Random) -> None:
        """Send a call; resume the answer if it breaks off."""
        got, offset = "", 0
        for _ in range(1 + MAX_RESUMES):
            operation, end = self._call_once(work, random, offset)
            self.history.add(operation)
            got += operation.text
            if operation.ending is Ending.NOT_RUN:
                self.over.wait(RETRY_DELAY_S)
            if operation.ending is not Ending.CUT or not work.tokens:
                return
            offset = end or offset
            if self.over.wait(RETRY_DELAY_S):
                return

    def _call_once(
        self, work: Work, random: Random, offset: int
    ) -> tuple[Operation, int | None]:
        """Make one call; return it and the offset after the received text."""
        name = random.choice(self.entries)
        client = self.cluster.clients[name]
        disruptions_before = self.disruptions[name]
        start_s = time.monotonic()
        if not work.tokens:
            ending, text, end, detail = self._call_service(client, work)
        else:
            streamed = offset > 0 or random.random() < STREAMED_SHARE
            ending, text, end, detail = self._call_model(client, work, offset, streamed)
        operation = Operation(
            work=work,
            instance=name,
            start_s=start_s,
            end_s=time.monotonic(),
            deadline_s=DEADLINE_S,
            ending=ending,
            text=text,
            offset=offset,
            excused=self.disruptions[name] != disruptions_before,
            detail=detail,
        )
        return operation, end

    def _call_service(
        self, client: Client, work: Work
    ) -> tuple[Ending, str, int | None, str]:
        path = SERVICE_PATH + work.key
        try:
            answer = client.call("POST", path, work.prompt.encode(), _headers(work, 0))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Ending.CUT, "", None, repr(error)
        return _ending_of(answer.headers), "", None, answer.body.decode()[:300]

    def _call_model(
        self, client: Client, work: Work, offset: int, streamed: bool
    ) -> tuple[Ending, str, int | None, str]:
        body = {"model": "demo", "prompt": work.prompt, "max_tokens": work.tokens}
        body["stream"] = streamed
        got = StreamedText(0, None)
        try:
            answer = client.open(
                "POST", "/v1/completions", body, _headers(work, offset)
            )
            if answer.status != 200 or not streamed:
                return _whole(answer)
            for event in events(answer):
                take_event(got, event)
            answer.release_conn()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            end = got.offsets[-1] if got.offsets else None
            return Ending.CUT, got.text, end, repr(error)
        end = got.offsets[-1] if got.offsets else None
        if got.error is not None:
            return Ending(got.error["outcome"]), got.text, end, str(got.error)
        return (Ending.COMPLETED if got.done else Ending.CUT), got.text, end, ""

    # Fault injection.

    def _inject_fault(self) -> None:
        """Inject one more fault, or end all faults."""
        faults: tuple[Callable[[], None], ...] = (
            self._kill_entry,
            self._freeze_entry,
            self._freeze_entry,
            self._crash_engine,
            self._reset_streams,
            self._freeze_engine,
            self._store_outage,
            self._store_loses_answers,
            self._store_loses_answers,
            self._store_slow,
            self._objects_outage,
            self._cut_from_store,
            self.heal,
        )
        fault = self.random.choice(faults)
        self.fault_counts[fault.__name__.strip("_")] += 1
        fault()

    def _kill_entry(self) -> None:
        name = self.random.choice(self.entries)
        self.disruptions[name] += 1
        self.cluster.entries[name].kill()
        self.cluster.add_entry(name)
        self.disruptions[name] += 1

    def _freeze_entry(self) -> None:
        name = self.random.choice(self.entries)
        process = self.cluster.entries[name]
        self.disruptions[name] += 1
        process.signal(signal.SIGSTOP)
        self.over.wait(self.random.uniform(0.5, 3.0))
        process.signal(signal.SIGCONT)
        self.disruptions[name] += 1

    def _crash_engine(self) -> None:
        self._fault(self._engine(), "crash", down_s=0.3)

    def _reset_streams(self) -> None:
        self._fault(self._engine(), "reset-streams")

    def _freeze_engine(self) -> None:
        self._fault(self._engine(), "freeze", seconds=self.random.uniform(0.2, 1.5))

    def _store_outage(self) -> None:
        reset = self.random.random() < 0.5
        self._fault(self.cluster.table, "outage", reset=reset)

    def _store_loses_answers(self) -> None:
        count = self.random.randint(1, 6)
        self._fault(self.cluster.table, "lose-answers", count=count)

    def _store_slow(self) -> None:
        seconds = self.random.uniform(0.1, 1.0)
        self._fault(self.cluster.table, "latency", seconds=seconds)

    def _objects_outage(self) -> None:
        self._fault(self.cluster.objects, "outage")

    def _cut_from_store(self) -> None:
        name = self.random.choice(self.entries)
        self._fault(self.cluster.table, "cut", peers=[name])

    def heal(self) -> None:
        """End the faults of all engines and of both stores."""
        engines = [self.cluster.addresses[name] for name in self.engines]
        for address in (self.cluster.table, self.cluster.objects, *engines):
            Client(address).call("DELETE", "/faults")

    def _engine(self) -> str:
        return self.cluster.addresses[self.random.choice(self.engines)]

    def _fault(self, address: str, kind: str, **members: object) -> None:
        answer = Client(address).call("POST", "/faults", {"kind": kind, **members})
        if answer.status != 204:
            raise ProcessError(f"{kind} at {address}: {answer}")

    # Executed work.

    def starts(self, service: str) -> dict[str, int]:
        """Return how often the endpoints started the work of each key."""
        bases = {
            _stream_base(work): work.key for work in self.issued_work if work.tokens
        }
        counted: Counter[str] = Counter()
        for name in self.engines:
            for entry in self.cluster.journal(name):
                if entry["event"] == "started":
                    base = entry["stream_id"].rsplit("-", 1)[0]
                    counted[bases.get(base, entry["stream_id"])] += 1
        for entry in self.cluster.journal(service):
            if entry["event"] == "started":
                counted[entry["path"].rsplit("/", 1)[1]] += 1
        return dict(counted)


def _headers(work: Work, offset: int) -> dict[str, str]:
    headers = {
        "Idempotency-Key": work.key,
        "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
    }
    if work.once:
        headers["X-Non-Idempotent"] = "true"
    if offset:
        headers["X-Resume-Offset"] = str(offset)
    return headers


def _ending_of(headers: Any) -> Ending:
    return Ending(headers["X-Outcome"])


def _whole(answer: Any) -> tuple[Ending, str, int | None, str]:
    """Read an answer that is not streamed."""
    content = answer.read()
    answer.release_conn()
    ending = _ending_of(answer.headers)
    if ending is not Ending.COMPLETED:
        return ending, "", None, content.decode()[:300]
    return ending, json.loads(content)["choices"][0]["text"], None, ""


def _stream_base(work: Work) -> str:
    """Return the common prefix of a key's stream ids, in any generation."""
    call = ModelCall(ModelId("demo"), None, work.prompt, work.tokens)
    request = Request(
        request_id=RequestId(""),
        account=AccountId("voces"),
        kind=RequestKind.MODEL,
        target=call.model,
        prompt_tokens=1,
        max_tokens=work.tokens,
        deadline=timedelta(0),
        body_digest=call_digest(call),
        idempotency_key=work.key,
    )
    return stream_base_of(request, 0).rsplit("-", 1)[0]
