"""The configuration in force, as the kernel sees it.

`mimosafork.manifest` builds it from an accepted manifest. It is immutable: a new
revision replaces the old one whole.
"""

from collections.abc import Mapping
from datetime import timedelta

import msgspec

from ..ids import AccountId, Digest, ModelId, Revision, ServiceId


class ModelPolicy(msgspec.Struct, frozen=True):
    """How one model is served.

    Attributes
    ----------
    max_prompt_tokens, max_output_tokens : int
        Longest prompt and answer that are accepted.
    """

    model: ModelId
    version: str
    max_prompt_tokens: int
    max_output_tokens: int
    adapters: tuple[str, ...] = ()


class ServicePolicy(msgspec.Struct, frozen=True):
    """How one plain service is served.

    Attributes
    ----------
    non_repeatable : tuple of str
        ``METHOD /path/prefix`` of calls that run at most once.
    """

    service: ServiceId
    timeout: timedelta
    non_repeatable: tuple[str, ...] = ()


class AccountPolicy(msgspec.Struct, frozen=True):
    """Rights and limits of one client account.

    Attributes
    ----------
    key_hashes : tuple of Digest
        SHA-256 of each API key.
    tokens_per_second : float
        Long-run limit of prompt plus answer tokens, over all entry instances.
    burst_tokens : int
        What may be taken at once.
    weight : float
        Share of a contended fleet against other accounts.
    models : tuple of ModelId
        Empty: all.
    """

    account: AccountId
    key_hashes: tuple[Digest, ...]
    tokens_per_second: float
    burst_tokens: int
    weight: float = 1.0
    models: tuple[ModelId, ...] = ()


class FleetPolicy(msgspec.Struct, frozen=True):
    """Settings that hold for the whole deployment.

    Attributes
    ----------
    long_prompt_tokens : int
        A prompt of at least this length counts as long.
    long_share : float
        Part of an endpoint's prefill and memory that long prompts may hold while
        short ones want it, in (0, 1): the one value that trades the slowdown of
        short requests against the first token of long ones.
    default_deadline, longest_deadline : timedelta
        Time that a request gets when it names none, and the most it may name.
    retry_budget : float
        Further attempts for each first attempt, in the long run.
    ejected_share : float
        Largest part of a model's endpoints that may be ejected at once.
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
        Grows by one with each accepted change.
    digest : Digest
        SHA-256 of the canonical manifest, which operators compare.
    """

    revision: Revision
    digest: Digest
    fleet: FleetPolicy = msgspec.field(default_factory=FleetPolicy)
    models: Mapping[ModelId, ModelPolicy] = msgspec.field(default_factory=dict)
    services: Mapping[ServiceId, ServicePolicy] = msgspec.field(default_factory=dict)
    accounts: Mapping[AccountId, AccountPolicy] = msgspec.field(default_factory=dict)
