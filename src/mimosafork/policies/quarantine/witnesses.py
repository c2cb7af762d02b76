"""Instances that republish evidence for those that start later."""

from ...ids import Digest, Incarnation, InstanceId
from ...kernel.context import Context
from ...kernel.fleet import Fleet
from ...kernel.messages.peers import MemberState
from ...kernel.rendezvous import ranked

WITNESSES = 2
"""Instances that republish the evidence against one body: one may be frozen."""


class Witnesses:
    """Chooses witnesses among the instances that have run for longest.

    Attributes
    ----------
    incarnations : dict of InstanceId to Incarnation
        Newest known incarnation of each instance, this one included.
    """

    def __init__(self) -> None:
        self.incarnations: dict[InstanceId, Incarnation] = {}

    def update(self, context: Context) -> frozenset[InstanceId]:
        """Take over the known instances; return those that have started since.

        The first update returns none: this instance has nothing to republish yet.
        """
        known, self.incarnations = self.incarnations, _incarnations(context.state.fleet)
        if not known:
            return frozenset()
        return frozenset(
            name
            for name, incarnation in self.incarnations.items()
            if incarnation > known.get(name, Incarnation(0))
        )

    def includes_own(
        self, digest: Digest, without: frozenset[InstanceId], context: Context
    ) -> bool:
        """Return whether this instance is a witness of the evidence against a body.

        Parameters
        ----------
        without : frozenset of InstanceId
            Instances that are no candidates.
        """
        members = context.state.fleet.members
        candidates = [
            name
            for name in self.incarnations
            if name not in without
            and (name not in members or members[name].state is MemberState.LIVE)
        ]
        chosen = ranked(f"witness {digest}", candidates)[:WITNESSES]
        return context.state.identity.instance in chosen


def _incarnations(fleet: Fleet) -> dict[InstanceId, Incarnation]:
    """Return the newest known incarnation of each instance."""
    newest = {name: entry.incarnation for name, entry in fleet.instances.items()}
    for name, member in fleet.members.items():
        newest[name] = max(member.incarnation, newest.get(name, member.incarnation))
    return newest
