"""Clients that stream concurrently."""

import threading
from dataclasses import dataclass, field

from mimosafork.standins import expected_answer

from .calls import Client, StreamedText, read_stream

TOKENS = 40


def prompt_of(number: int) -> str:
    """Return the prompt of a client."""
    return f"letter {number}"


@dataclass
class StreamingClients:
    """Clients that stream concurrently."""

    client: Client
    headers: dict[str, str] = field(default_factory=dict)
    streams: list[StreamedText] = field(default_factory=list)
    threads: list[threading.Thread] = field(default_factory=list)
    begun: threading.Semaphore = field(default_factory=lambda: threading.Semaphore(0))

    def add(self, count: int) -> None:
        """Start clients and return when each has received its first token."""
        for _ in range(count):
            thread = threading.Thread(target=self.stream, args=(len(self.threads),))
            self.threads.append(thread)
            thread.start()
        for _ in range(count):
            assert self.begun.acquire(timeout=20)

    def stream(self, number: int) -> None:
        """Stream one answer."""
        body = {
            "model": "demo",
            "prompt": prompt_of(number),
            "max_tokens": TOKENS,
            "stream": True,
        }
        client = Client(self.client.address)
        answer = client.open("POST", "/v1/completions", body, self.headers)
        self.begun.release()
        streamed = read_stream(answer)
        streamed.number = number
        self.streams.append(streamed)

    def check_whole(self) -> None:
        """Check that every client read its own answer, each token once."""
        for streamed in self.finish():
            assert streamed.status == 200 and streamed.done, streamed
            expected = expected_answer(prompt_of(streamed.number), TOKENS)
            assert streamed.text == expected, streamed
            assert streamed.offsets == list(range(1, TOKENS + 1)), streamed

    def finish(self) -> list[StreamedText]:
        """Wait until all streams have ended and return them."""
        for thread in self.threads:
            thread.join(30)
        assert len(self.streams) == len(self.threads)
        return self.streams
