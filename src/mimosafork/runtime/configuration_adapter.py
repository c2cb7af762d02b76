"""Connects the kernel with the accepted configuration, in the store and at peers."""

from collections.abc import Callable
from random import Random

from ..clock import Clock
from ..configuration.follower import ConfigurationFollower
from ..configuration.messages import (
    AcceptedConfiguration,
    ConfigurationOffer,
    PeersAnswered,
)
from ..configuration.store import ConfigurationStore
from ..ids import Revision
from ..peers.frames import ConfigurationText
from ..settings.model import PlatformSection
from ..storage.table import Table
from ..telemetry.catalogue.configuration import CONFIGURATION_REVISION
from ..telemetry.metrics import Metrics, Reading
from .kernel_task import KernelTask

PEER = "a peer"


class ConfigurationAdapter:
    """Follows the accepted configuration and has it put in force.

    Parameters
    ----------
    settings : PlatformSection
    table : Table
    clock : Clock
    random : random.Random
    kernel_task : KernelTask
    hold : Callable
        Takes the text that is in force, for peers; must not block.
    """

    def __init__(
        self,
        settings: PlatformSection,
        table: Table,
        clock: Clock,
        random: Random,
        kernel_task: KernelTask,
        hold: Callable[[ConfigurationText], None],
    ) -> None:
        self.hold = hold
        self.follower = ConfigurationFollower(
            ConfigurationStore(table),
            clock,
            random,
            settings.configuration_period,
            kernel_task.send,
            self.announce,
            settings.configuration_boot_wait,
        )

    def register(self, kernel_task: KernelTask) -> None:
        """Take no effects."""

    def announce(self, accepted: AcceptedConfiguration) -> None:
        """Let peers have what is in force here now."""
        text = accepted.text.encode()
        self.hold(ConfigurationText(accepted.revision, accepted.digest, text))

    def offered(self, offer: ConfigurationText) -> None:
        """Have the follower look at what a peer sent."""
        text = offer.text.decode("utf-8", "replace")
        self.follower.send(ConfigurationOffer(offer.revision, offer.digest, text, PEER))

    def heard(self, revision: Revision) -> None:
        """Note which revision a peer has."""
        self.follower.send(PeersAnswered(revision))

    def observe(self, metrics: Metrics) -> None:
        """Have the revision in force shown among the metrics."""
        revisions = self.follower.revisions
        metrics.observe(
            CONFIGURATION_REVISION, lambda: [Reading(float(revisions.revision))]
        )

    def start(self) -> None:
        """Begin to follow."""
        self.follower.start()

    def stop(self) -> None:
        """End following."""
        self.follower.stop()
