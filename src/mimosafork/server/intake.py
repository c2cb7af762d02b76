"""From a caller's parsed request to the kernel."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..endpoints.calls import ModelCall, ServiceCall
from ..ids import AccountId, RequestId
from ..kernel.configuration import Configuration, ServicePolicy
from ..kernel.messages.base import Message
from ..kernel.messages.problems import ProblemCode
from ..kernel.messages.requests import Repeatability, Request, RequestKind, Submit
from ..relay.answers import Answer, ServiceAnswer, StreamedAnswer, WholeAnswer
from ..relay.counters import RelayCounters
from ..relay.messages import CallerAttached, RelayMessage
from ..relay.shapes import Shape
from .errors import RejectedError
from .gateway import DetachableConnection
from .in_force import ConfigurationView, InForce
from .keys import bearer_key
from .options import CallOptions, read_options
from .prompts import call_digest, prefix_marks, prompt_tokens

OVERLOAD_PAUSE = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class IntakeLimits:
    """What the instance holds at once.

    Attributes
    ----------
    body_bytes : int
        Longest body of one request.
    held_bytes : int
        Bodies of all requests that are not concluded.
    exchanges : int
        Requests that are not concluded.
    """

    body_bytes: int = 32 << 20
    held_bytes: int = 512 << 20
    exchanges: int = 3000


@dataclass(frozen=True, slots=True)
class Caller:
    """Who calls, under which configuration."""

    account: AccountId
    in_force: InForce

    @property
    def configuration(self) -> Configuration:
        """The configuration that this whole request is judged by."""
        return self.in_force.configuration


@dataclass(frozen=True, slots=True)
class AnswerForm:
    """How a model's answer is to be sent."""

    shape: Shape
    streamed: bool
    include_usage: bool


def ignore_rejection(code: ProblemCode) -> None:
    """Do nothing about a rejection."""


@dataclass(slots=True)
class Intake:
    """Admits requests from the server's threads.

    Parameters
    ----------
    tell_relay, tell_kernel : Callable
        Take messages; from any thread, never block.
    counters : RelayCounters
        What is held at present.
    note_rejection : Callable, optional
        Is told of each request that is refused before the kernel hears of it; from
        any thread, must not block.
    """

    view: ConfigurationView
    clock: Clock
    tell_relay: Callable[[RelayMessage], None]
    tell_kernel: Callable[[Message], None]
    counters: RelayCounters
    limits: IntakeLimits
    note_rejection: Callable[[ProblemCode], None] = ignore_rejection

    def identify(self, headers: Mapping[str, str]) -> Caller:
        """Return who calls.

        Raises
        ------
        RejectedError
            If the key is missing or nobody's, or no configuration is in force.
        """
        in_force = self.view.current
        if in_force is None:
            detail = "this instance has no configuration yet"
            raise RejectedError(ProblemCode.NOT_CONFIGURED, detail, OVERLOAD_PAUSE)
        key = bearer_key(headers.get("Authorization"))
        if key is None:
            detail = "the Authorization header must hold 'Bearer' and an API key"
            raise RejectedError(ProblemCode.UNAUTHORIZED, detail)
        account = in_force.keys.account_of(key)
        if account is None:
            raise RejectedError(ProblemCode.UNAUTHORIZED, "nobody has this API key")
        return Caller(account, in_force)

    def check_room(self) -> None:
        """Refuse early when the instance holds all that it can.

        Raises
        ------
        RejectedError
        """
        held = self.counters
        if held.exchanges < self.limits.exchanges and (
            held.held_bytes < self.limits.held_bytes
        ):
            return
        raise RejectedError(
            ProblemCode.OVERLOADED,
            "this instance holds as many requests as it can",
            OVERLOAD_PAUSE,
        )

    def submit_model(
        self,
        caller: Caller,
        headers: Mapping[str, str],
        request_id: RequestId,
        call: ModelCall,
        form: AnswerForm,
        connection: DetachableConnection,
    ) -> None:
        """Hand a completion to the kernel and its caller to the relay.

        Raises
        ------
        RejectedError
            Before the caller has been handed over.
        """
        options = read_options(headers, caller.configuration.fleet)
        prompt = call.prompt.encode()
        request = Request(
            request_id=request_id,
            account=caller.account,
            kind=RequestKind.MODEL,
            target=call.model,
            prompt_tokens=prompt_tokens(prompt),
            max_tokens=call.max_tokens,
            deadline=self.clock.monotonic() + options.time_left,
            body_digest=call_digest(call),
            adapter=call.adapter,
            prefix_marks=prefix_marks(prompt),
            repeatability=options.repeatability,
            idempotency_key=options.idempotency_key,
            resume_offset=options.resume_offset,
        )
        answer = _model_answer(request_id, form, connection, options)
        self._hand_over(request, call, answer, connection)

    def submit_service(
        self,
        caller: Caller,
        headers: Mapping[str, str],
        request_id: RequestId,
        call: ServiceCall,
        connection: DetachableConnection,
    ) -> None:
        """Hand a call to a plain service to the kernel.

        Raises
        ------
        RejectedError
            Before the caller has been handed over.
        """
        policy = caller.configuration.services.get(call.service)
        default_time = policy.timeout if policy is not None else None
        options = read_options(headers, caller.configuration.fleet, default_time)
        repeatability = options.repeatability
        if policy is not None and not is_repeatable(policy, call):
            repeatability = Repeatability.NON_IDEMPOTENT
        request = Request(
            request_id=request_id,
            account=caller.account,
            kind=RequestKind.SERVICE,
            target=call.service,
            prompt_tokens=0,
            max_tokens=0,
            deadline=self.clock.monotonic() + options.time_left,
            body_digest=call_digest(call),
            repeatability=repeatability,
            idempotency_key=options.idempotency_key,
        )
        self._hand_over(request, call, ServiceAnswer(request_id), connection)

    def _hand_over(
        self,
        request: Request,
        call: ModelCall | ServiceCall,
        answer: Answer,
        connection: DetachableConnection,
    ) -> None:
        """Give the caller's socket to the relay, then the request to the kernel.

        In this order, so that the relay knows the caller before the kernel's
        first effect for it can arrive.
        """
        attached = CallerAttached(
            request=request, sock=connection.detach(), call=call, answer=answer
        )
        self.tell_relay(attached)
        self.tell_kernel(Submit(request))


def is_repeatable(policy: ServicePolicy, call: ServiceCall) -> bool:
    """Return whether the policy lets a call run more than once."""
    path = call.path.partition("?")[0]
    for entry in policy.non_repeatable:
        method, _, prefix = entry.partition(" ")
        if method == call.method and path.startswith(prefix.strip()):
            return False
    return True


def _model_answer(
    request_id: RequestId,
    form: AnswerForm,
    connection: DetachableConnection,
    options: CallOptions,
) -> Answer:
    if not form.streamed:
        return WholeAnswer(request_id, form.shape)
    return StreamedAnswer(
        request_id,
        form.shape,
        chunked=connection.chunked,
        include_usage=form.include_usage,
        offset=options.resume_offset,
    )
