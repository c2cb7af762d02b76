"""Requests and answers as the stand-ins' HTTP loop passes them on."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Protocol, TypeVar

import msgspec

from ..errors import BadRequestError

JSON = "application/json"

Body = TypeVar("Body")


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request, read to its end.

    Parameters
    ----------
    method : str
        The HTTP method in capitals.
    path : str
        The path without its query, still URL-quoted.
    query : Mapping of str to str
        The query's parameters, unquoted; the last value of each wins.
    headers : Mapping of str to str
        The headers under their names in lower case.
    body : bytes
        The whole body.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    @property
    def instance(self) -> str:
        """Id of the calling instance, empty if it names none."""
        return self.headers.get("x-instance", "")

    def decode(self, body_type: type[Body]) -> Body:
        """Read the JSON body as a typed message.

        Raises
        ------
        BadRequestError
            If the body is no JSON or does not fit the type.
        """
        try:
            return msgspec.json.decode(self.body, type=body_type)
        except msgspec.MsgspecError as error:
            raise BadRequestError(str(error)) from error

    def number(self, name: str, default: int) -> int:
        """Read a query parameter as a whole number that is not negative."""
        value = self.query.get(name)
        if value is None:
            return default
        if not value.isdecimal():
            raise BadRequestError(f"{name} is not a whole number: {value!r}")
        return int(value)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer.

    Parameters
    ----------
    status : int
        The HTTP status.
    body : bytes
        The body, possibly empty.
    headers : Mapping of str to str
        Headers beside the content type and length.
    content_type : str
        The media type of the body.
    """

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)
    content_type: str = JSON

    @classmethod
    def json(cls, value: Any, status: int = HTTPStatus.OK) -> "HttpAnswer":
        """Answer with a message, encoded as JSON."""
        return cls(status, msgspec.json.encode(value))


@dataclass(frozen=True, slots=True)
class ErrorBody:
    """Body of an answer that is an error but no refusal."""

    detail: str


def error_answer(status: int, detail: str) -> HttpAnswer:
    """Answer with an error that is no refusal."""
    return HttpAnswer.json(ErrorBody(detail), status)


class ExchangeListener(Protocol):
    """Who wants to know what becomes of an open exchange."""

    def drained(self) -> None:
        """Note that all that was written has left."""

    def closed(self) -> None:
        """Note that the caller is gone and nothing can be written any more."""


class Exchange(Protocol):
    """The way back to the caller of one request."""

    listener: ExchangeListener | None

    @property
    def backlog(self) -> int:
        """Bytes written that the socket has not taken yet."""

    def answer(self, answer: HttpAnswer) -> None:
        """Give the whole answer, which ends the exchange."""

    def start_events(self) -> None:
        """Send the headers of a stream of events."""

    def send_events(self, data: bytes) -> None:
        """Send events as one chunk."""

    def end_events(self) -> None:
        """Send the last chunk, which ends the exchange."""

    def reset(self) -> None:
        """Cut the connection without an answer."""
