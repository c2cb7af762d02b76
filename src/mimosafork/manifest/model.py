"""What a manifest says, checked whole.

No key has a default: what is in force is what stands in the reviewed file.
"""

import re
from collections.abc import Mapping
from datetime import timedelta
from typing import Annotated, Literal

from pydantic import AfterValidator, Field

from ..ids import AccountId, ModelId, ServiceId
from ..settings.sections import Section
from ..settings.types import Duration, NameList

FORMAT = 1
HASH = re.compile(r"[0-9a-f]{64}")
CALL = re.compile(r"[A-Z]+ /\S*")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}")


def _each(pattern: re.Pattern[str], what: str) -> AfterValidator:
    """Return a check that all parts of a list match, without repeats."""

    def check(parts: tuple[str, ...]) -> tuple[str, ...]:
        bad = [part for part in parts if not pattern.fullmatch(part)]
        if bad:
            raise ValueError(f"{', '.join(map(repr, bad))} is no {what}")
        if len(set(parts)) < len(parts):
            raise ValueError("a value stands twice")
        return tuple(sorted(parts))

    return AfterValidator(check)


Count = Annotated[int, Field(ge=1)]
Positive = Annotated[Duration, Field(gt=timedelta(0))]
Share = Annotated[float, Field(gt=0, lt=1, allow_inf_nan=False)]
Rate = Annotated[float, Field(gt=0, allow_inf_nan=False)]
Version = Annotated[str, Field(pattern=f"^{NAME.pattern}$")]
Names = Annotated[NameList, _each(NAME, "name")]
Hashes = Annotated[NameList, _each(HASH, "SHA-256 in lower-case hexadecimal")]
Calls = Annotated[NameList, _each(CALL, "'METHOD /path'")]


class HeaderSection(Section):
    """What the file is."""

    format: Annotated[Literal["1"], Field(description="form of the manifest: 1")]


class FleetSection(Section):
    """Settings that hold for the whole deployment."""

    long_prompt_tokens: Count = Field(
        description="a prompt of at least this many tokens counts as long"
    )
    long_share: Share = Field(
        description="part of an endpoint's prefill and memory that long prompts may "
        "hold while short ones want it, between 0 and 1"
    )
    default_deadline: Positive = Field(
        description="time that a request gets when it names none"
    )
    longest_deadline: Positive = Field(description="most time that it may name")
    retry_budget: float = Field(
        ge=0,
        le=1,
        allow_inf_nan=False,
        description="further attempts for each first attempt, in the long run",
    )
    ejected_share: Share = Field(
        description="largest part of a model's endpoints that may be ejected at once"
    )
    max_attempts: Count = Field(le=10, description="attempts of one request at most")


class ModelSection(Section):
    """How one model is served; the section is ``[model NAME]``."""

    version: Version = Field(description="version that endpoints should have loaded")
    max_prompt_tokens: Count = Field(description="longest prompt that is accepted")
    max_output_tokens: Count = Field(description="longest answer that is accepted")
    adapters: Names = Field(description="adapters that may be asked for; may be empty")


class ServiceSection(Section):
    """How one plain service is served; the section is ``[service NAME]``."""

    timeout: Positive = Field(description="longest wait for an answer")
    non_repeatable: Calls = Field(
        description="'METHOD /path/prefix' of calls that run at most once"
    )


class AccountSection(Section):
    """Rights and limits of one client account; ``[account NAME]``."""

    key_hashes: Annotated[Hashes, Field(min_length=1)] = Field(
        description="SHA-256 of each API key, see 'mimosafork manifest hash-key'"
    )
    tokens_per_second: Rate = Field(
        description="long-run limit of prompt and answer tokens over all instances"
    )
    burst_tokens: Count = Field(description="tokens that may be taken at once")
    weight: Rate = Field(description="share of a contended fleet, against others'")
    models: Names = Field(description="models that it may use; empty: all")


class Manifest(Section):
    """A whole manifest; `mimosafork.manifest.parser` makes it."""

    manifest: HeaderSection
    fleet: FleetSection
    models: Mapping[ModelId, ModelSection]
    services: Mapping[ServiceId, ServiceSection]
    accounts: Mapping[AccountId, AccountSection]
