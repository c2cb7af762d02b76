"""Open attempts of the calls of one instance."""

from datetime import timedelta

from msgspec.structs import astuple

from ..ids import RequestId
from ..kernel.messages.attempts import (
    AttemptFailed,
    AttemptHedged,
    AttemptSilent,
    EndSilentAttempt,
)
from ..kernel.messages.dispatch import CancelAttempt, Dispatch
from .attempt import EndpointAttempt
from .attempt_context import AttemptContext
from .call import Call


class OpenAttempts:
    """Starts, hedges and ends attempts.

    Attributes
    ----------
    current : dict of RequestId to EndpointAttempt
        Latest attempt of each call.
    hedged : dict of RequestId to EndpointAttempt
        Silent attempts that stay open until another attempt of their call answers.
    """

    def __init__(self, context: AttemptContext) -> None:
        self.context = context
        self.current: dict[RequestId, EndpointAttempt] = {}
        self.hedged: dict[RequestId, EndpointAttempt] = {}

    def start(self, call: Call, dispatch: Dispatch) -> None:
        """Start an attempt."""
        attempt = EndpointAttempt(call, dispatch, self.context)
        self.current[dispatch.request_id] = attempt
        attempt.start()

    def cancel(self, effect: CancelAttempt) -> None:
        """Cancel an attempt."""
        for attempts in (self.current, self.hedged):
            attempt = attempts.get(effect.request_id)
            if attempt is not None and attempt.dispatch.attempt == effect.attempt:
                del attempts[effect.request_id]
                attempt.cancel()

    def restore(self, request_id: RequestId) -> EndpointAttempt | None:
        """Make a call's hedged attempt its current one again."""
        attempt = self.hedged.pop(request_id, None)
        if attempt is not None:
            attempt.hedged = False
            self.current[request_id] = attempt
        return attempt

    def tick(self, now: timedelta) -> list[AttemptSilent]:
        """Update time-outs; return messages about attempts that are silent too long."""
        for each in self.current.values():
            each.extend_timeout(now)
        found = (each.check_silence(now) for each in self.current.values())
        return [message for message in found if message is not None]

    def end_silent(self, effect: EndSilentAttempt) -> AttemptFailed | None:
        """Hedge or cancel a silent attempt; return the message about it."""
        request_id = effect.failure.request_id
        attempt = self.current.get(request_id)
        if attempt is None or attempt.ended:
            return None
        self.context.pool.drop(attempt.dispatch.endpoint)
        if attempt.may_be_hedged and request_id not in self.hedged:
            attempt.hedged = True
            self.hedged[request_id] = self.current.pop(request_id)
            return AttemptHedged(*astuple(effect.failure))
        attempt.cancel()
        return effect.failure

    def end_call(self, request_id: RequestId) -> None:
        """Forget the attempts of a call that has ended."""
        for attempts in (self.current, self.hedged):
            attempt = attempts.pop(request_id, None)
            if attempt is not None:
                attempt.ended = True

    def discard_ended_hedge(self, failure: AttemptFailed) -> None:
        """Remove an ended hedged attempt, so that a later one may be hedged."""
        hedged = self.hedged.get(failure.request_id)
        if hedged is not None and hedged.ended:
            del self.hedged[failure.request_id]

    def failed(self, failure: AttemptFailed) -> EndpointAttempt | None:
        """Return the attempt that a failure is about."""
        hedged = isinstance(failure, AttemptHedged)
        return (self.hedged if hedged else self.current).get(failure.request_id)

    def stall(self, request_id: RequestId, stalled: bool) -> None:
        """Pause or resume reading from the endpoints of a call."""
        for attempts in (self.current, self.hedged):
            attempt = attempts.get(request_id)
            if attempt is not None and stalled:
                attempt.pause()
            elif attempt is not None:
                attempt.resume()

    def was_sent(self, dispatch: Dispatch) -> bool:
        """Return whether an attempt has a connection, and may have been sent."""
        attempt = self.current.get(dispatch.request_id)
        return attempt is not None and attempt.connection is not None
