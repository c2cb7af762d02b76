"""The events of an engine's stream, which depend on the request alone."""

from dataclasses import dataclass

from .http import Request
from .runs import Run, digest_of
from .words import TOKEN_USAGE, WEIGHT_VERSIONS

TEXT_DIGITS = 16


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens of a prompt, and at most of its answer."""

    prompt: int = 0
    answer: int = 0


def usage_of(request: Request) -> Usage:
    """Return the sizes that a request states; none stated are 0."""
    prompt, _, answer = request.header(TOKEN_USAGE).partition(",")
    return Usage(int(prompt or 0), int(answer or 0))


def text_of(body_digest: str, number: int) -> str:
    """Return the text of an event, the same at whichever engine it is made."""
    return digest_of(f"{body_digest}/{number}".encode())[:TEXT_DIGITS]


def expected_texts(body: bytes, events: int, after: int = 0) -> list[str]:
    """Return the texts of the events that follow `after`."""
    digest = digest_of(body)
    return [text_of(digest, number) for number in range(after + 1, events + 1)]


def event_of(run: Run, digest: str, number: int, weights: int | None) -> bytes:
    """Return the bytes of an event; its data names the run and the text.

    Parameters
    ----------
    weights : int or None
        The new version of the weights, at the event at which it changes.
    """
    line = "" if weights is None else f"{WEIGHT_VERSIONS.lower()}: {weights}\n"
    data = f"{run.instance}/{run.number} {text_of(digest, number)}"
    return f"{line}id: {number}\ndata: {data}\n\n".encode()
