"""A model engine: passes with chunked reading beside writing, by the published steps.

A pass with writers runs `stride` steps and gives each writer one event; one without
is a single step. The first event comes with the end of the pass that ends the reading.
Each step may read `chunk` prompt tokens. Parts of a prompt that several engines read
go ahead of all other reads, at its host and at its helpers, the latest first.
"""

from dataclasses import dataclass, field
from typing import Protocol

from mimosafork.routing.engine import EngineFigures

from ..virtual_time import EventLoop

QUEUE = 16
"""Requests that may wait at an engine; more are turned away."""
STALL_S = 1.5
"""A request that depends on an engine that is gone is given up after so long."""


class Sink(Protocol):
    """Hears of a job's progress."""

    def first_token(self) -> None:
        """Hear that the prompt has been read."""

    def event(self) -> None:
        """Hear that one pass of the answer has been written."""

    def end(self) -> None:
        """Hear that the answer is complete."""

    def lost(self) -> None:
        """Hear that an engine has crashed on which the job depends."""


@dataclass(slots=True, eq=False)
class Ticket:
    """Tokens of memory that are set aside on an engine."""

    engine: "PassEngine"
    tokens: int


@dataclass(slots=True, eq=False)
class Job:
    """One request at its host.

    Attributes
    ----------
    unread : int
        Parts that are still being read.
    written : int
        Tokens of the answer so far.
    largest_share : int
        Tokens of context that the host attends to in each step.
    """

    prompt_tokens: int
    answer_tokens: int
    sink: Sink
    helpers: tuple["PassEngine", ...] = ()
    tickets: tuple[Ticket, ...] = ()
    unread: int = 0
    written: int = 0
    writing: bool = False
    cancelled: bool = False

    @property
    def host_tokens(self) -> int:
        """Tokens that lie in the host's unreserved memory."""
        ticketed = sum(ticket.tokens for ticket in self.tickets)
        return max(0, self.prompt_tokens + self.written - ticketed)

    @property
    def largest_share(self) -> int:
        """Tokens of context that cost most on one engine."""
        shares = [ticket.tokens for ticket in self.tickets]
        return max([self.host_tokens, *shares])


@dataclass(slots=True, eq=False)
class Read:
    """An engine's part of a prompt."""

    job: Job
    host: "PassEngine"
    left: float
    ms_per_token: float


@dataclass(slots=True, eq=False)
class PassEngine:
    """One engine.

    Attributes
    ----------
    running : list of Job
        Oldest first; each takes a slot.
    reads, shared_reads : list of Read
        Of prompts that it reads alone, and parts of those that several engines read.
    reserved : int
        Tokens of memory under tickets.
    queue_room : int
        Requests that may wait at it.
    down : bool
        It has crashed and takes nothing.
    pace : float
        How many times longer than stated all takes.
    busy_ms, read_ms : float
        Time in passes so far, and how much of it was reading.
    """

    loop: EventLoop
    figures: EngineFigures
    pace: float = 1.0
    running: list[Job] = field(default_factory=list)
    queue: list[Job] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    shared_reads: list[Read] = field(default_factory=list)
    reserved: int = 0
    queue_room: int = QUEUE
    in_pass: bool = False
    down: bool = False
    busy_ms: float = 0.0
    read_ms: float = 0.0
    preempted: int = 0

    @property
    def used(self) -> int:
        """Tokens of memory in use."""
        return self.reserved + sum(job.host_tokens for job in self.running)

    @property
    def helping(self) -> int:
        """Jobs of other hosts that it helps to read."""
        return len({id(r.job) for r in self.shared_reads if r.host is not self})

    @property
    def is_full(self) -> bool:
        """Whether no further job may wait."""
        return not self.down and len(self.queue) >= self.queue_room

    def submit(self, job: Job) -> bool:
        """Take a job in; False if the queue or a helper is full, or one is down."""
        if self.down or any(each.down for each in job.helpers):
            return False
        if self.is_full:
            return False
        if any(each.helping >= each.figures.slots for each in job.helpers):
            return False
        self.queue.append(job)
        self.wake()
        return True

    def reserve(self, tokens: int) -> Ticket | None:
        """Set memory aside, or return None if it isn't free."""
        if self.down or self.used + tokens > self.figures.memory_tokens:
            return None
        self.reserved += tokens
        return Ticket(self, tokens)

    def release(self, ticket: Ticket) -> None:
        """Give a ticket's memory back, unless a crash has lost it."""
        self.reserved = max(0, self.reserved - ticket.tokens)
        self.wake()

    def cancel(self, job: Job) -> None:
        """Drop a job whose caller has gone."""
        job.cancelled = True
        if job in self.queue:
            self.queue.remove(job)
        if job in self.running:
            self.running.remove(job)
        for engine in (self, *job.helpers):
            engine.reads = [read for read in engine.reads if read.job is not job]
            engine.shared_reads = [
                read for read in engine.shared_reads if read.job is not job
            ]

    def crash(self) -> None:
        """Lose all work; what other hosts wait for from here is lost later."""
        self.down = True
        for job in (*self.running, *self.queue):
            self.cancel(job)
            job.sink.lost()
        for read in [each for each in self.shared_reads if each.host is not self]:
            self.loop.after(STALL_S, read.host.lose, read.job)
        self.reads.clear()
        self.shared_reads.clear()
        self.reserved = 0

    def lose(self, job: Job) -> None:
        """Give a job up that waits for an engine that is gone."""
        if job.cancelled or job.unread == 0:
            return
        self.cancel(job)
        job.sink.lost()
        self.wake()

    def recover(self) -> None:
        """Take work again."""
        self.down = False
        self.wake()

    def turn(self, pace: float) -> None:
        """Work at another pace from the next pass on."""
        self.pace = pace

    def wake(self) -> None:
        """Begin a pass unless one runs."""
        if not self.in_pass:
            self.begin()

    def admit(self) -> None:
        """Move jobs from the queue into free slots while their memory is free."""
        while self.queue and len(self.running) < self.figures.slots:
            job = self.queue[0]
            if self.used + job.host_tokens > self.figures.memory_tokens:
                return
            del self.queue[0]
            self.running.append(job)
            self.start_reading(job)

    def start_reading(self, job: Job) -> None:
        """Hand an even part of the prompt to the host and to each helper."""
        tokens = job.prompt_tokens + job.written
        per_token = self.figures.prefill_ms(tokens, tokens) / tokens
        part = tokens / (1 + len(job.helpers))
        job.unread = 1 + len(job.helpers)
        own = Read(job, self, part, per_token)
        if job.helpers:
            self.shared_reads.insert(0, own)
        else:
            self.reads.append(own)
        for helper in job.helpers:
            helper.shared_reads.insert(0, Read(job, self, part, per_token))
            helper.wake()
            if helper.down:
                self.loop.after(STALL_S, self.lose, job)

    def begin(self) -> None:
        """Begin a pass if there is work."""
        if self.down:
            return
        # Set before jobs are admitted: a helper that is woken by one may admit a job
        # that wakes this engine again, and two passes at once would write twice.
        self.in_pass = True
        self.admit()
        writers = [job for job in self.running if job.writing]
        reads = [*self.shared_reads, *self.reads]
        if not writers and not reads:
            self.in_pass = False
            return
        steps = self.figures.stride if writers else 1
        read_ms = self.read(reads, steps * self.figures.prefill_chunk_tokens)
        step = self.figures.step_ms
        for job in writers:
            step += self.figures.per_sequence_ms
            step += self.figures.context_ms_per_k * job.largest_share / 1e3
            step += self.figures.hop_ms if job.tickets else 0.0
        length_ms = (steps * step + read_ms) * self.pace
        self.busy_ms += length_ms
        self.read_ms += read_ms * self.pace
        self.loop.after(length_ms / 1e3, self.finish, writers)

    def read(self, reads: list[Read], budget: float) -> float:
        """Read up to `budget` tokens and return the milliseconds."""
        total_ms = 0.0
        for read in reads:
            taken = min(read.left, budget)
            if taken <= 0:
                break
            read.left -= taken
            budget -= taken
            total_ms += taken * read.ms_per_token
        return total_ms

    def finish(self, writers: list[Job]) -> None:
        """End a pass: events for its writers, first tokens for what was read."""
        self.in_pass = False
        for job in writers:
            if job.writing and not job.cancelled:
                self.write(job)
        done = [r for r in (*self.shared_reads, *self.reads) if r.left <= 0]
        self.shared_reads = [r for r in self.shared_reads if r.left > 0]
        self.reads = [r for r in self.reads if r.left > 0]
        for read in done:
            read.host.part_done(read.job)
        self.make_room()
        self.wake()

    def write(self, job: Job) -> None:
        """Add one event to an answer."""
        job.written += self.figures.stride
        ended = job.written >= job.answer_tokens
        if ended:
            self.running.remove(job)
        job.sink.event()
        if ended:
            job.sink.end()

    def part_done(self, job: Job) -> None:
        """Count a part; after the last one the job writes."""
        job.unread -= 1
        if job.unread == 0 and not job.cancelled and job in self.running:
            job.writing = True
            job.sink.first_token()
            self.write(job)
            self.wake()

    def make_room(self) -> None:
        """Preempt the newest jobs while memory is short; they are read again."""
        while self.used > self.figures.memory_tokens and len(self.running) > 1:
            job = self.running.pop()
            self.preempted += 1
            job.writing = False
            job.helpers = ()
            self.reads = [read for read in self.reads if read.job is not job]
            self.queue.insert(0, job)
