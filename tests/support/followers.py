"""Gateway instances that follow the configuration without threads, for tests."""

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from mimosafork.clock import ManualClock
from mimosafork.configuration.follower import ConfigurationFollower
from mimosafork.configuration.messages import AcceptedConfiguration, ConfigurationOffer
from mimosafork.configuration.store import ConfigurationStore
from mimosafork.kernel.messages.configuration import ConfigurationReceived

from .fake_table import FakeTable

PERIOD = timedelta(seconds=3)


@dataclass
class FollowingInstance:
    """A follower whose steps are driven by the test.

    Attributes
    ----------
    posted : list of ConfigurationReceived
        Messages to its kernel.
    announced : list of AcceptedConfiguration
        Messages to its peers task.
    """

    table: FakeTable
    clock: ManualClock
    posted: list[ConfigurationReceived] = field(default_factory=list)
    announced: list[AcceptedConfiguration] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.boot()

    def boot(self) -> None:
        """Restart without any state."""
        self.follower = ConfigurationFollower(
            ConfigurationStore(self.table),
            self.clock,
            Random(1),
            PERIOD,
            self.posted.append,
            self.announced.append,
        )

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first."""
        return self.follower.revisions.revision

    def poll(self) -> None:
        """Read the store once."""
        self.follower.idle()

    def offer_to(self, other: "FollowingInstance") -> None:
        """Send the configuration in force to a peer."""
        held = self.follower.accepted
        if held is not None:
            offer = ConfigurationOffer(held.revision, held.digest, held.text, "peer")
            other.follower.handle(offer)
