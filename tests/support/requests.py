"""Factory of requests for tests that need only some of the fields."""

from datetime import timedelta

from mimosafork.ids import AccountId, Digest, ModelId, RequestId
from mimosafork.kernel.messages.requests import Repeatability, Request, RequestKind


def request(
    name: str,
    model: ModelId,
    deadline: timedelta,
    body: str = "",
    repeatability: Repeatability = Repeatability.IDEMPOTENT,
    prompt_tokens: int = 1000,
) -> Request:
    """Return a model request.

    Parameters
    ----------
    name : str
        Request id.
    deadline : timedelta
        Monotonic time.
    body : str
        Stands for the content; defaults to a unique one.
    """
    return Request(
        request_id=RequestId(name),
        account=AccountId("a"),
        kind=RequestKind.MODEL,
        target=model,
        prompt_tokens=prompt_tokens,
        max_tokens=10,
        deadline=deadline,
        body_digest=Digest(body or f"body-of-{name}"),
        repeatability=repeatability,
    )
