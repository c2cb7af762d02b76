"""Checks an account's permission for a model and the model's own limits."""

from ..ids import ModelId
from ..kernel.configuration import Configuration, ModelPolicy
from ..kernel.context import Context
from ..kernel.messages.problems import Problem, ProblemCode
from ..kernel.messages.requests import RequestKind
from ..kernel.plugins import Proceed, Refuse, ReviewDecision, Stage
from ..kernel.records import RequestRecord
from ..kernel.registry import register


@register("model-rights")
class ModelRights(Stage):
    """Refuses models that an account may not use, and requests beyond model limits.

    Runs after the stage that checks that the target exists.
    """

    order = 11

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Refuse with the reason, or proceed."""
        configuration = context.state.configuration
        if record.request.kind is not RequestKind.MODEL or configuration is None:
            return Proceed()
        model = configuration.models.get(ModelId(record.request.target))
        if model is None:
            return Proceed()
        problem = _objection(record, model, configuration)
        return Proceed() if problem is None else Refuse(problem)


def _objection(
    record: RequestRecord, model: ModelPolicy, configuration: Configuration
) -> Problem | None:
    request = record.request
    account = configuration.accounts.get(request.account)
    if account is not None and account.models and model.model not in account.models:
        # Same message as for a model that does not exist, so that an account does
        # not learn which models other accounts have.
        detail = f"no model is called {request.target!r}"
        return Problem(ProblemCode.UNKNOWN_MODEL, detail)
    if request.adapter is not None and request.adapter not in model.adapters:
        detail = f"model {model.model!r} has no adapter called {request.adapter!r}"
        return Problem(ProblemCode.UNKNOWN_MODEL, detail)
    if request.max_tokens > model.max_output_tokens:
        most = model.max_output_tokens
        detail = f"max_tokens is {request.max_tokens} and the model gives {most}"
        return Problem(ProblemCode.MALFORMED, detail)
    return None
