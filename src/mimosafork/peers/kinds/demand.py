"""Demand of client accounts, of instances and of availability zones."""

from datetime import timedelta

from ...kernel.messages.base import Message
from ...kernel.messages.limits import ZONE_DEMAND, AccountDemand, AccountDemandReceived
from ...kernel.messages.peers import Origin, Scope
from .base import ArrayKind, register_kind


@register_kind
class AccountDemandKind(ArrayKind[AccountDemand]):
    """Written every second or few while an account wants much of its limit."""

    number = 10
    value_type = AccountDemand
    scopes = frozenset(Scope)
    time_to_live = timedelta(minutes=1)
    max_bytes = 2048

    def message(self, key: str, value: AccountDemand, origin: Origin) -> Message:
        """Return the demand with its origin."""
        return AccountDemandReceived(value, key == ZONE_DEMAND, origin)
