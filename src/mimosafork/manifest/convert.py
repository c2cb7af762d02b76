"""From a manifest to the configuration that the kernel works by."""

from collections.abc import Iterable
from functools import singledispatch

from pydantic import BaseModel

from ..ids import AccountId, Digest, ModelId, Revision, ServiceId
from ..kernel.configuration import (
    AccountPolicy,
    Configuration,
    FleetPolicy,
    ModelPolicy,
    ServicePolicy,
)
from .canonical import canonical_text, digest_of
from .model import (
    AccountSection,
    FleetSection,
    HeaderSection,
    Manifest,
    ModelSection,
    ServiceSection,
)

Policy = FleetPolicy | ModelPolicy | ServicePolicy | AccountPolicy


def configuration_of(
    manifest: Manifest, revision: Revision, digest: Digest | None = None
) -> Configuration:
    """Return the configuration of an accepted manifest.

    Parameters
    ----------
    manifest : Manifest
    revision : Revision
        Under which the manifest was accepted.
    digest : Digest, optional
        If it is known already.
    """
    policies: list[Policy | None] = [policy_of(manifest.fleet, "")]
    for group in (manifest.models, manifest.services, manifest.accounts):
        policies += [policy_of(section, name) for name, section in group.items()]
    known = digest or digest_of(canonical_text(manifest))
    return configuration_from(policies, revision, known)


def configuration_from(
    policies: Iterable[Policy | None], revision: Revision, digest: Digest
) -> Configuration:
    """Return the configuration that is made of policies, one a section.

    Raises
    ------
    ValueError
        If there is none for the fleet.
    """
    fleet: FleetPolicy | None = None
    models: dict[ModelId, ModelPolicy] = {}
    services: dict[ServiceId, ServicePolicy] = {}
    accounts: dict[AccountId, AccountPolicy] = {}
    for policy in policies:
        if isinstance(policy, AccountPolicy):
            accounts[policy.account] = policy
        elif isinstance(policy, ModelPolicy):
            models[policy.model] = policy
        elif isinstance(policy, ServicePolicy):
            services[policy.service] = policy
        elif policy is not None:
            fleet = policy
    if fleet is None:
        raise ValueError("there is no [fleet]")
    return Configuration(revision, digest, fleet, models, services, accounts)


@singledispatch
def policy_of(section: BaseModel, name: str) -> Policy | None:
    """Return what a section means to the kernel; None if it means nothing.

    Parameters
    ----------
    section : BaseModel
    name : str
        The name in the section's title; empty if it has none.
    """
    raise TypeError(f"no policy is made of {type(section).__name__}")


@policy_of.register
def _(section: HeaderSection, name: str) -> None:
    return None


@policy_of.register
def _(section: FleetSection, name: str) -> FleetPolicy:
    """Take over each field by its name: the kernel's names are the manifest's."""
    return FleetPolicy(
        **{name: getattr(section, name) for name in FleetPolicy.__struct_fields__}
    )


@policy_of.register
def _(section: ModelSection, name: str) -> ModelPolicy:
    return ModelPolicy(
        ModelId(name),
        section.version,
        section.max_prompt_tokens,
        section.max_output_tokens,
        section.adapters,
    )


@policy_of.register
def _(section: ServiceSection, name: str) -> ServicePolicy:
    return ServicePolicy(ServiceId(name), section.timeout, section.non_repeatable)


@policy_of.register
def _(section: AccountSection, name: str) -> AccountPolicy:
    return AccountPolicy(
        AccountId(name),
        tuple(Digest(each) for each in section.key_hashes),
        section.tokens_per_second,
        section.burst_tokens,
        section.weight,
        tuple(ModelId(each) for each in section.models),
    )
