"""Active configuration, as the kernel sees it.

`mimosafork.manifest` builds it from an accepted manifest. It is immutable: a new
revision replaces the old one as a whole.
"""

from collections.abc import Mapping
from datetime import timedelta

import msgspec

from ..ids import AccountId, Digest, ModelId, Revision, ServiceId


class ModelPolicy(msgspec.Struct, frozen=True):
    """Serving policy of one model.

    Attributes
    ----------
    max_prompt_tokens, max_output_tokens : int
        Longest accepted prompt and answer.
    """

    model: ModelId
    version: str
    max_prompt_tokens: int
    max_output_tokens: int
    adapters: tuple[str, ...] = ()


class ServicePolicy(msgspec.Struct, frozen=True):
    """Serving policy of one plain service.

    Attributes
    ----------
    non_repeatable : tuple of str
        ``METHOD /path/prefix`` of calls that run at most once.
    """

    service: ServiceId
    timeout: timedelta
    non_repeatable: tuple[str, ...] = ()


class AccountPolicy(msgspec.Struct, frozen=True):
    """Permissions and limits of one client account.

    Attributes
    ----------
    key_hashes : tuple of Digest
        SHA-256 of each API key.
    tokens_per_second : float
        Sustained limit of prompt plus answer tokens across all entry instances.
    burst_tokens : int
        Burst size of the token bucket.
    weight : float
        Weight relative to other accounts when the fleet is contended.
    models : tuple of ModelId
        Models that the account may use; empty allows all.
    """

    account: AccountId
    key_hashes: tuple[Digest, ...]
    tokens_per_second: float
    burst_tokens: int
    weight: float = 1.0
    models: tuple[ModelId, ...] = ()


class FleetPolicy(msgspec.Struct, frozen=True):
    """Settings of the whole deployment.

    Attributes
    ----------
    long_prompt_tokens : int
        A prompt of at least this length counts as long.
    long_share : float
        Share of an endpoint's prefill and memory that long prompts may use while
        short ones compete for it, in (0, 1). Trades the latency of short requests
        against the time to first token of long ones.
    default_deadline, longest_deadline : timedelta
        Deadline of a request that specifies none, and the longest allowed one.
    retry_budget : float
        Sustained ratio of retries to first attempts.
    ejected_share : float
        Largest share of a model's endpoints that may be ejected at once.
    """

    long_prompt_tokens: int = 32_768
    long_share: float = 0.5
    default_deadline: timedelta = timedelta(seconds=120)
    longest_deadline: timedelta = timedelta(hours=1)
    retry_budget: float = 0.1
    ejected_share: float = 0.3
    max_attempts: int = 3


class Configuration(msgspec.Struct, frozen=True):
    """One accepted configuration.

    Attributes
    ----------
    revision : Revision
        Incremented by one for each accepted change.
    digest : Digest
        SHA-256 of the canonical manifest, for comparison by operators.
    """

    revision: Revision
    digest: Digest
    fleet: FleetPolicy = msgspec.field(default_factory=FleetPolicy)
    models: Mapping[ModelId, ModelPolicy] = msgspec.field(default_factory=dict)
    services: Mapping[ServiceId, ServicePolicy] = msgspec.field(default_factory=dict)
    accounts: Mapping[AccountId, AccountPolicy] = msgspec.field(default_factory=dict)
