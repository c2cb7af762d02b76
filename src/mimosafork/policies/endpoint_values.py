"""Conversion between load reports and the values that peers exchange."""

from datetime import timedelta
from math import ceil

from ..ids import EndpointId, Incarnation
from ..kernel.messages.fleet import LoadReport
from ..kernel.messages.watch import (
    KV_SHARE_SCALE,
    PREFILL_UNIT_TOKENS,
    EndpointLoad,
    EndpointProfile,
)

MS = timedelta(milliseconds=1)
INCARNATION_MASK = 0xFFFF_FFFF


def profile_of(report: LoadReport) -> EndpointProfile:
    """Return the part of a report that seldom changes."""
    return EndpointProfile(
        report.incarnation,
        report.kv_capacity,
        round(report.prefill_rate),
        report.models,
        report.fencing,
        report.role,
    )


def load_of(report: LoadReport, lag: timedelta) -> EndpointLoad:
    """Return the part of a report that changes constantly; `lag` is its age."""
    return EndpointLoad(
        incarnation_bits_of(report.incarnation),
        report.sequence,
        max(0, lag // MS),
        report.running,
        report.waiting,
        ceil(report.waiting_prefill_tokens / PREFILL_UNIT_TOKENS),
        min(
            KV_SHARE_SCALE,
            KV_SHARE_SCALE * report.kv_used // max(1, report.kv_capacity),
        ),
        report.draining,
    )


def incarnation_bits_of(incarnation: Incarnation) -> int:
    """Return the low bits of an incarnation, which a load carries."""
    return incarnation & INCARNATION_MASK


def report_of(
    endpoint: EndpointId, load: EndpointLoad, profile: EndpointProfile, age: timedelta
) -> LoadReport:
    """Build a report from a load and its profile; `age` is the age of the load."""
    return LoadReport(
        endpoint=endpoint,
        incarnation=profile.incarnation,
        sequence=load.sequence,
        lag=load.lag_ms * MS + age,
        running=load.running,
        waiting=load.waiting,
        waiting_prefill_tokens=load.prefill_units * PREFILL_UNIT_TOKENS,
        kv_used=load.kv_share * profile.kv_capacity // KV_SHARE_SCALE,
        kv_capacity=profile.kv_capacity,
        prefill_rate=float(profile.prefill_rate),
        models=profile.models,
        draining=load.draining,
        fencing=profile.fencing,
        role=profile.role,
    )
