"""Stand-ins that speak the prepared platform's protocol, on loopback."""

from .deployment import Deployment
from .desk import Desk
from .engine import Engine
from .store import Store

__all__ = ["Deployment", "Desk", "Engine", "Store"]
