"""Tells the response to a request from other responses on its connection."""

from collections import deque

MAX_RECENT_CALLS = 16
"""Number of calls that a connection remembers. An endpoint repeats a response at the
place of the next one, and a response to another call ends the connection's reuse."""


class ResponseMatcher:
    """Compares the ids that responses state with those of the requests.

    An endpoint may send a response again when the next one is due on the connection.
    Responses state the id of their call; those to orders, and to calls without an id,
    state none.

    Attributes
    ----------
    awaited : str
        Id of the latest request; empty if it has none.
    recent_calls : deque of str
        Ids of the latest requests that had one.
    unidentified : bool
        Whether a request without an id was sent on the connection.
    may_repeat_unidentified : bool
        Whether one was sent before the latest request.
    """

    def __init__(self) -> None:
        self.awaited = ""
        self.recent_calls: deque[str] = deque(maxlen=MAX_RECENT_CALLS)
        self.unidentified = False
        self.may_repeat_unidentified = False

    def expect(self, call_id: str) -> None:
        """Record that a request is sent; the id is empty if it has none."""
        self.awaited = call_id
        self.may_repeat_unidentified = self.unidentified
        if call_id:
            self.recent_calls.append(call_id)
        else:
            self.unidentified = True

    def has_carried(self, call_id: str) -> bool:
        """Return whether a repeated response could be taken for that to a request.

        This is so if a request with the same id, or another one without an id, was sent
        on the connection before.
        """
        return call_id in self.recent_calls if call_id else self.unidentified

    def matches(self, stated_id: str | None) -> bool:
        """Return whether a response belongs to the latest request."""
        if stated_id is not None:
            return stated_id == self.awaited
        return not (self.awaited and self.may_repeat_unidentified)
