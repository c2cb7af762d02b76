"""The CherryPy application for callers."""

import secrets
from collections.abc import Callable
from functools import wraps
from http import HTTPStatus
from typing import Any

import cherrypy
import msgspec

from ..endpoints.calls import ModelCall, ServiceCall
from ..ids import ModelId, RequestId, ServiceId
from ..kernel.messages.outcomes import Outcome
from ..relay.shapes import ChatShape, CompletionShape
from .application import quiet_application, respond
from .bodies import (
    DEFAULT_MAX_TOKENS,
    chat_call,
    completion_call,
    decode_chat,
    decode_completion,
    wants_usage,
)
from .errors import RejectedError
from .intake import AnswerForm, Caller, Intake
from .problems import problem_answer, status_answer
from .reading import connection, discard_body, read_body

SERVICES_PREFIX = "/services/"
SERVICE_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
PASSED_HEADERS = (
    "Accept",
    "Accept-Language",
    "Content-Type",
    "Idempotency-Key",
    "If-Match",
    "If-None-Match",
    "User-Agent",
)
"""Headers of a caller that a plain service gets to see: never the API key."""


def answered(handler: Callable[..., Any]) -> Callable[..., Any]:
    """Turn a refusal in a handler into its problem response."""

    @wraps(handler)
    def run(front: "Front", *arguments: str, **query: str) -> Any:
        request_id = RequestId(secrets.token_hex(12))
        try:
            return handler(front, request_id, *arguments)
        except RejectedError as error:
            front.intake.note_rejection(error.problem.code)
            answer = problem_answer(error.problem, Outcome.NOT_RUN, request_id)
        except cherrypy.HTTPError as error:
            answer = status_answer(HTTPStatus(error.code), error.args[1] or "")
        return respond(answer, request_id)

    return run


class Front:
    """Reads and authenticates requests, then hands their callers over.

    Parameters
    ----------
    intake : Intake
    """

    def __init__(self, intake: Intake) -> None:
        self.intake = intake

    def completions(self, request_id: RequestId) -> None:
        """Answer ``POST /v1/completions``."""
        caller = self.begin("POST")
        body = decode_completion(read_body(self.intake.limits.body_bytes))
        call = completion_call(body, default_tokens(caller, body.model))
        shape = CompletionShape(request_id, call.model, self.created())
        form = AnswerForm(shape, body.stream, wants_usage(body))
        self.submit(caller, request_id, call, form)

    def chat(self, request_id: RequestId) -> None:
        """Answer ``POST /v1/chat/completions``."""
        caller = self.begin("POST")
        body = decode_chat(read_body(self.intake.limits.body_bytes))
        call = chat_call(body, default_tokens(caller, body.model))
        shape = ChatShape(request_id, call.model, self.created())
        form = AnswerForm(shape, body.stream, wants_usage(body))
        self.submit(caller, request_id, call, form)

    def submit(
        self, caller: Caller, request_id: RequestId, call: ModelCall, form: AnswerForm
    ) -> None:
        """Hand a model call over with its caller's connection."""
        headers = cherrypy.request.headers
        self.intake.submit_model(caller, headers, request_id, call, form, connection())

    def models(self, request_id: RequestId) -> bytes:
        """Answer ``GET /v1/models`` with those that the account may use."""
        caller = self.begin("GET")
        configuration = caller.configuration
        allowed = configuration.accounts[caller.account].models
        names = sorted(
            name for name in configuration.models if not allowed or name in allowed
        )
        members = [
            {"id": name, "object": "model", "created": 0, "owned_by": "mimosafork"}
            for name in names
        ]
        cherrypy.response.headers["Content-Type"] = "application/json"
        return msgspec.json.encode({"object": "list", "data": members})

    def services(self, request_id: RequestId, *path: str) -> None:
        """Pass a call on to a plain service."""
        caller = self.begin(*SERVICE_METHODS)
        raw = raw_path().removeprefix(SERVICES_PREFIX)
        name, _, rest = raw.partition("/")
        query = cherrypy.request.query_string
        headers = cherrypy.request.headers
        call = ServiceCall(
            service=ServiceId(name),
            method=cherrypy.request.method,
            path=f"/{rest}" + (f"?{query}" if query else ""),
            headers=tuple(
                (each, headers[each]) for each in PASSED_HEADERS if each in headers
            ),
            body=read_body(self.intake.limits.body_bytes),
        )
        self.intake.submit_service(caller, headers, request_id, call, connection())

    def unknown_path(self, request_id: RequestId, *path: str) -> None:
        """Answer any other path."""
        discard_body(self.intake.limits.body_bytes)
        raise cherrypy.HTTPError(HTTPStatus.NOT_FOUND, "there is nothing at this path")

    def begin(self, *methods: str) -> Caller:
        """Return who calls, before the body is read.

        Raises
        ------
        RejectedError
        """
        try:
            if cherrypy.request.method not in methods:
                detail = f"this path takes {', '.join(methods)}"
                raise cherrypy.HTTPError(HTTPStatus.METHOD_NOT_ALLOWED, detail)
            caller = self.intake.identify(cherrypy.request.headers)
            self.intake.check_room()
        except (RejectedError, cherrypy.HTTPError):
            discard_body(self.intake.limits.body_bytes)
            raise
        return caller

    def created(self) -> int:
        """Return the wall time for an answer, in seconds."""
        return int(self.intake.clock.now().timestamp())


class Tree:
    """Maps paths to the front's handlers, as CherryPy's dispatcher wants it."""

    def __init__(self, front: Front) -> None:
        self.v1 = Branch(
            completions=handler_of(front, Front.completions),
            models=handler_of(front, Front.models),
            chat=Branch(completions=handler_of(front, Front.chat)),
        )
        self.services = Branch(default=handler_of(front, Front.services))
        self.default = handler_of(front, Front.unknown_path)


class Branch:
    """One folder of the tree."""

    def __init__(self, **members: Any) -> None:
        for name, member in members.items():
            setattr(self, name, member)


def handler_of(front: Front, method: Callable[..., Any]) -> Callable[..., Any]:
    """Return an exposed page handler for one of the front's methods."""
    guarded = answered(method)

    def page(*arguments: str, **query: str) -> Any:
        return guarded(front, *arguments)

    page.exposed = True  # type: ignore[attr-defined]
    return page


def make_app(front: Front) -> cherrypy.Application:
    """Return the WSGI application."""
    return quiet_application(Tree(front))


def default_tokens(caller: Caller, model: str) -> int:
    """Return the longest answer of a call that names none.

    Not more than the model gives: such a call would be refused for a number that
    its caller never wrote.
    """
    policy = caller.configuration.models.get(ModelId(model))
    if policy is None:
        return DEFAULT_MAX_TOKENS
    return min(DEFAULT_MAX_TOKENS, policy.max_output_tokens)


def raw_path() -> str:
    """Return the request's path as the caller quoted it."""
    uri: str = cherrypy.request.wsgi_environ["REQUEST_URI"]
    return uri.partition("?")[0]
