"""Permissions of accounts for models, and limits of models."""

from msgspec.structs import replace

from mimosafork.ids import AdapterId, ModelId
from mimosafork.kernel.configuration import AccountPolicy, ModelPolicy
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.requests import Request
from mimosafork.policies.admission import KnownTarget
from mimosafork.policies.baselines import LeastRequests
from mimosafork.policies.model_rights import ModelRights
from mimosafork.policies.priorities import FirstCome
from mimosafork.policies.retry import BoundedRetry
from tests.support.functions import function_tests
from tests.support.kernels import (
    ACCOUNT,
    MODEL,
    configuration,
    engine_entry,
    model_request,
    running_kernel,
)


def refused_as(
    request: Request, models: tuple[ModelId, ...] = ()
) -> ProblemCode | None:
    """Return the code with which a request is refused; None if it is admitted."""
    settings = configuration(
        accounts=[AccountPolicy(ACCOUNT, (), 1e6, 10**7, 1.0, models)]
    )
    policy = ModelPolicy(MODEL, "1", 100_000, 500, adapters=("letters",))
    settings = replace(settings, models={MODEL: policy})
    plugins = [
        KnownTarget(),
        ModelRights(),
        LeastRequests(),
        FirstCome(),
        BoundedRetry(),
    ]
    with running_kernel(plugins, [engine_entry("e1")], settings) as bench:
        bench.submit(request)
        conclusion = bench.conclusion(request.request_id)
        if conclusion is None:
            assert len(bench.dispatches(request.request_id)) == 1
            return None
        assert conclusion.outcome is Outcome.NOT_RUN and conclusion.problem is not None
        return conclusion.problem.code


def test_account_is_limited_to_its_models() -> None:
    assert refused_as(model_request("r")) is None
    assert refused_as(model_request("r"), (MODEL,)) is None
    other = (ModelId("other"),)
    assert refused_as(model_request("r"), other) is ProblemCode.UNKNOWN_MODEL


def test_max_tokens_beyond_the_model_limit_is_refused() -> None:
    assert refused_as(model_request("r", max_tokens=500)) is None
    too_long = model_request("r", max_tokens=501)
    assert refused_as(too_long) is ProblemCode.MALFORMED


def test_adapter_that_the_model_lacks_is_refused() -> None:
    assert refused_as(model_request("r", adapter=AdapterId("letters"))) is None
    strange = model_request("r", adapter=AdapterId("ledgers"))
    assert refused_as(strange) is ProblemCode.UNKNOWN_MODEL


load_tests = function_tests(__name__)
