"""A small HTTP/1.1 server in which one task owns every socket.

An ordinary threaded server would give each stream a thread of its own. With
several hundred streams the stand-in would then spend more processor time than
the system that is measured against it, so one selector loop serves them all.
"""

from .loop import Application, HttpLoop
from .messages import Exchange, HttpAnswer, HttpRequest
from .routing import Call, Router

__all__ = [
    "Application",
    "Call",
    "Exchange",
    "HttpAnswer",
    "HttpLoop",
    "HttpRequest",
    "Router",
]
