"""Rate limits of client accounts: shares by demand, and the enforcing stage."""

from .stage import AccountLimits

__all__ = ["AccountLimits"]
