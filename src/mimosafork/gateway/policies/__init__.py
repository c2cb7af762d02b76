"""Plug-ins that decide about calls that are passed on; importing registers them."""

from . import (
    fleet_view,
    ordering,
    placing,
    quarantining,
    reserving,
    retrying,
    silence,
)

PLUGINS = (
    fleet_view.FleetView.name,
    quarantining.CrashQuarantine.name,
    placing.WorkPlacer.name,
    reserving.MemoryKeeper.name,
    retrying.BudgetedRetry.name,
    silence.SilenceWatch.name,
    ordering.UrgentFirst.name,
)
"""Names of the plug-ins of a gateway."""

__all__ = ["PLUGINS"]
