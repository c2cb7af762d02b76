"""How log lines look, for people and for machines."""

import logging
from collections.abc import Mapping
from datetime import UTC, datetime, timedelta
from enum import Enum

import msgspec

from .redaction import REDACTED, SECRET_FIELDS, redact_text

PLAIN_LAYOUT = "%(asctime)s %(levelname)s %(code)s %(name)s: %(message)s"
NO_CODE = "-"
MAIN_THREAD = "MainThread"
"""Most lines come from it, so that only others' name their thread."""


def event_code(record: logging.LogRecord) -> str:
    """Return the number of a record's event; a dash for a library's record."""
    event = getattr(record.msg, "event", None)
    return str(event.code) if event is not None else NO_CODE


def event_fields(record: logging.LogRecord) -> Mapping[str, object]:
    """Return the fields of a record's event that have a value, without secrets."""
    fields: Mapping[str, object] = getattr(record.msg, "fields", {})
    return {
        name: field_value(name, value)
        for name, value in fields.items()
        if value is not None
    }


def wall_time(record: logging.LogRecord) -> str:
    """Return a record's time in UTC, with milliseconds."""
    moment = datetime.fromtimestamp(record.created, UTC)
    return moment.isoformat(timespec="milliseconds")


def field_value(name: str, value: object) -> object:
    """Return what is written for a field.

    Parameters
    ----------
    name : str
        The field's name.
    value : object
        As it was logged.

    Returns
    -------
    object
        A number, or a text without secrets; a duration in seconds.
    """
    if name in SECRET_FIELDS:
        return REDACTED
    if isinstance(value, timedelta):
        return value.total_seconds()
    if isinstance(value, Enum):
        return value.value
    if value is None or isinstance(value, (int, float)):
        return value
    return redact_text(str(value))


class PlainFormatter(logging.Formatter):
    """One line for people, followed by the trace if there is one."""

    def __init__(self) -> None:
        super().__init__(PLAIN_LAYOUT)

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, without secrets."""
        record.code = event_code(record)
        return redact_text(super().format(record))

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Return the time in UTC."""
        return wall_time(record)


class JsonFormatter(logging.Formatter):
    """One JSON object on one line."""

    def __init__(self) -> None:
        super().__init__()
        self.encoder = msgspec.json.Encoder()

    def format(self, record: logging.LogRecord) -> str:
        """Return the object, without secrets."""
        line = {
            "time": wall_time(record),
            "level": record.levelname,
            "event": event_code(record),
            "logger": record.name,
            "message": redact_text(record.getMessage()),
            "fields": event_fields(record),
        }
        if record.threadName != MAIN_THREAD:
            line["thread"] = record.threadName or "?"
        if record.exc_info:
            line["trace"] = redact_text(self.formatException(record.exc_info))
        return self.encoder.encode(line).decode("utf-8")
