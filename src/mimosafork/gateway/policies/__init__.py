"""Policy plug-ins of the gateway; importing this package registers them."""

from . import (
    account_shares,
    backoff_waits,
    catching_up,
    cold_endpoints,
    connectivity,
    endpoint_statements,
    fleet_view,
    home_regions,
    ordering,
    peer_forwarding,
    placing,
    quarantining,
    rate_limit_admission,
    rate_limits,
    reserving,
    retrying,
    silence,
)

PLUGINS = (
    fleet_view.FleetView.name,
    connectivity.EndpointConnectivity.name,
    home_regions.HomeRegions.name,
    peer_forwarding.PeerForwarding.name,
    endpoint_statements.EndpointStatements.name,
    catching_up.CatchUp.name,
    quarantining.CrashQuarantine.name,
    rate_limits.EndpointRateLimits.name,
    cold_endpoints.ColdEndpoints.name,
    rate_limit_admission.RateLimitAdmission.name,
    backoff_waits.BackoffAdmission.name,
    placing.WorkPlacer.name,
    reserving.MemoryKeeper.name,
    retrying.BudgetedRetry.name,
    silence.SilenceWatch.name,
    ordering.UrgentFirst.name,
)
"""Registered names of the gateway's plug-ins."""

SHARING_PLUGINS = (*PLUGINS[:-1], account_shares.AccountShares.name)
"""The same with the queue discipline that shares capacity among client accounts."""

__all__ = ["PLUGINS", "SHARING_PLUGINS"]
