"""Messages of log records that stand for an event."""

from collections.abc import Mapping

import msgspec

from .events import Event


class EventMessage(msgspec.Struct, frozen=True):
    """The message of a log record, put together only if a line is written.

    Parameters
    ----------
    event : Event
        From the catalogue.
    fields : mapping of str to object
        Values of the event's fields, and further ones.
    """

    event: Event
    fields: Mapping[str, object] = msgspec.field(default_factory=dict)

    def __str__(self) -> str:
        return self.event.template.format_map(Fields(self.fields))


class Fields(dict[str, object]):
    """Fields of a message, in which a missing one shows as a question mark.

    A log line in a seldom run path must not raise where it should report; the
    unit tests find calls that leave out a field.
    """

    def __missing__(self, key: str) -> str:
        return "?"
