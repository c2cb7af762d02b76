"""Rejects requests for unknown targets and requests to an instance that is stopping."""

from datetime import timedelta

from ..ids import ModelId
from ..kernel.context import Context
from ..kernel.messages.problems import Problem, ProblemCode
from ..kernel.messages.requests import RequestKind
from ..kernel.plugins import Proceed, Refuse, ReviewDecision, Stage
from ..kernel.records import RequestRecord
from ..kernel.registry import register

RETRY_AFTER = timedelta(seconds=5)


@register("known-target")
class KnownTarget(Stage):
    """Refuses requests for targets that are missing from the configuration."""

    order = 10

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Refuse with the reason, or proceed."""
        if context.state.stopping:
            return _refuse(ProblemCode.SHUTTING_DOWN, "this instance is stopping", True)
        configuration = context.state.configuration
        if configuration is None:
            return _refuse(ProblemCode.NOT_CONFIGURED, "no configuration yet", True)
        request = record.request
        if request.kind is RequestKind.SERVICE:
            if request.target in configuration.services:
                return Proceed()
            detail = f"no service is called {request.target!r}"
            return _refuse(ProblemCode.UNKNOWN_SERVICE, detail)
        model = configuration.models.get(ModelId(request.target))
        if model is None:
            detail = f"no model is called {request.target!r}"
            return _refuse(ProblemCode.UNKNOWN_MODEL, detail)
        if request.prompt_tokens > model.max_prompt_tokens:
            detail = (
                f"the prompt has {request.prompt_tokens} tokens and the model takes "
                f"{model.max_prompt_tokens}"
            )
            return _refuse(ProblemCode.PROMPT_TOO_LONG, detail)
        return Proceed()


def _refuse(code: ProblemCode, detail: str, retryable: bool = False) -> Refuse:
    return Refuse(Problem(code, detail, RETRY_AFTER if retryable else None))
