"""CherryPy applications that read no body and log no access by themselves."""

import sys
from datetime import timedelta
from http import HTTPStatus
from logging import getLogger
from typing import Any

import cherrypy

from ..ids import RequestId
from ..kernel.messages.outcomes import Outcome
from ..kernel.messages.problems import Problem, ProblemCode
from ..relay.http import ATTEMPTS_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER
from ..telemetry.catalogue.requests import REQUEST_FAULT
from ..telemetry.logs import log_event
from .problems import ProblemAnswer, problem_answer, status_answer

logger = getLogger(__name__)

SERVER_NAME = "mimosafork"


def quiet_application(root: Any) -> cherrypy.Application:
    """Return an application that reads no body by itself and logs no access."""
    config = {
        "/": {
            "request.process_request_body": False,
            "request.show_tracebacks": False,
            "error_page.default": error_page,
            "tools.trailing_slash.on": False,
            "response.headers.server": SERVER_NAME,
        }
    }
    app = cherrypy.Application(root, script_name="", config=config)
    cherrypy.log.screen = False
    app.log.screen = False
    app.log.access_log.disabled = True
    return app


def error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    """Return the body for errors that CherryPy itself raises."""
    code = HTTPStatus(int(status.split(maxsplit=1)[0]))
    if code is HTTPStatus.INTERNAL_SERVER_ERROR:
        detail = "a fault in this program; the request was not passed on"
        log_event(logger, REQUEST_FAULT, exc_info=sys.exc_info()[1])
        problem = Problem(ProblemCode.INTERNAL, detail, timedelta(seconds=1))
        answer = problem_answer(problem, Outcome.NOT_RUN)
    else:
        answer = status_answer(code, message)
    for name, value in answer.headers:
        cherrypy.response.headers[name] = value
    return answer.body


def respond(answer: ProblemAnswer, request_id: RequestId) -> bytes:
    """Set CherryPy's response to a problem and return its body."""
    response = cherrypy.response
    response.status = int(answer.status)
    for name, value in answer.headers:
        response.headers[name] = value
    response.headers[REQUEST_ID_HEADER] = request_id
    response.headers[ATTEMPTS_HEADER] = "0"
    response.headers[OUTCOME_HEADER] = Outcome.NOT_RUN.value
    return answer.body
