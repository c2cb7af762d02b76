"""Whether this instance wants requests."""

from collections.abc import Callable

from ..server.in_force import ConfigurationView


class Readiness:
    """What the balancer is told.

    Parameters
    ----------
    view : ConfigurationView
    may_serve : Callable
        Returns whether the configuration in force is the newest within reach.

    Attributes
    ----------
    draining : bool
        A graceful shutdown has begun.
    """

    def __init__(self, view: ConfigurationView, may_serve: Callable[[], bool]) -> None:
        self.view = view
        self.may_serve = may_serve
        self.draining = False

    def why_not(self) -> str | None:
        """Return why no requests are wanted; None if they are."""
        if self.draining:
            return "draining"
        if self.view.current is None:
            return "no configuration yet"
        if not self.may_serve():
            return "the newest configuration is not known yet"
        return None
