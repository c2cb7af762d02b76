"""The members that an instance knows: how they come, fall silent and go."""

from collections.abc import Iterable
from datetime import timedelta

from ..ids import InstanceId
from .census import Census
from .effects import Effect, PeerDown, PeerRestarted, PeerUp
from .members import Address, Identity, Member, Peer, replaces
from .timing import Timing

REPLACED_KEPT = 1000


class Roster:
    """Members by name and by the tag of their life.

    Parameters
    ----------
    me : Identity
        This instance, which is no member of its own roster.

    Attributes
    ----------
    census : Census
        Counts all that were members lately.
    review_due : timedelta
        Before it no silence passes its limit.
    """

    def __init__(self, me: Identity, timing: Timing) -> None:
        self.me = me
        self.timing = timing
        self.members: dict[InstanceId, Member] = {}
        self.census = Census(me.started_ms)
        self.by_tag: dict[int, InstanceId] = {}
        self.replaced: dict[int, None] = {}
        self.review_due = timedelta.max
        self.reviewed_limit = timedelta(0)

    def learn(self, identity: Identity, now: timedelta, direct: bool) -> list[Effect]:
        """Take in that a life exists; it isn't alive before it is heard.

        Parameters
        ----------
        direct : bool
            It says so itself.
        """
        name = identity.instance
        if name == self.me.instance or identity.tag in self.replaced:
            return []
        old = self.members.get(name)
        if old is None:
            self.enter(identity, now)
            return []
        silent = now - old.heard >= self.timing.suspect_after
        if not replaces(identity, old.identity, direct and silent):
            return []
        self.by_tag.pop(old.identity.tag, None)
        self.remember_replaced(old.identity.tag)
        self.enter(identity, now)
        return [PeerRestarted(identity)]

    def enter(self, identity: Identity, now: timedelta) -> None:
        """Make a life a member."""
        self.members[identity.instance] = Member(identity, now)
        self.census.learn(identity, now)
        self.review_due = min(self.review_due, now)
        self.by_tag[identity.tag] = identity.instance

    def remember_replaced(self, tag: int) -> None:
        """Pass over a life from now on; the oldest such words are forgotten."""
        self.replaced[tag] = None
        if len(self.replaced) > REPLACED_KEPT:
            del self.replaced[next(iter(self.replaced))]

    def member_of(self, tag: int) -> Member | None:
        """Return the member whose present life has a tag."""
        name = self.by_tag.get(tag)
        return None if name is None else self.members[name]

    def hear(self, member: Member, now: timedelta) -> list[Effect]:
        """Note a sign of life."""
        member.heard = max(member.heard, now)
        if member.alive:
            return []
        member.alive = True
        self.review_due = min(self.review_due, now)
        return [PeerUp(member.identity)]

    def moved(self, member: Member, address: Address) -> None:
        """Note where a member's own datagrams come from."""
        identity = member.identity
        if identity.address != address:
            member.identity = Identity(
                identity.instance,
                identity.zone,
                address,
                identity.boot,
                identity.started_ms,
            )

    def excuse(self, now: timedelta) -> None:
        """Begin all silences anew: it was this instance that did not listen."""
        for member in self.members.values():
            member.heard = now

    def is_review_due(self, now: timedelta, limit: timedelta) -> bool:
        """Whether a silence may have passed its limit since the last review.

        Parameters
        ----------
        limit : timedelta
            Silence after which a peer is suspected.
        """
        return now >= self.review_due or limit != self.reviewed_limit

    def reviewed(self, limit: timedelta) -> None:
        """Note that all were looked at, and when the first silence may pass a limit.

        Signs of life only put it off; members that come or come back bring it forward.
        """
        self.reviewed_limit = limit
        self.review_due = min(
            (
                member.heard + (limit if member.alive else self.timing.drop_after)
                for member in self.members.values()
            ),
            default=timedelta.max,
        )

    def review(self, now: timedelta, limit: timedelta) -> list[Effect]:
        """Suspect the silent."""
        effects: list[Effect] = []
        for member in self.members.values():
            if member.alive and now - member.heard > limit:
                member.alive = False
                member.ledger.forget_silent()
                effects.append(PeerDown(member.identity))
        return effects

    def drop_silent(self, now: timedelta) -> list[InstanceId]:
        """Forget those that were silent for long, and return their names."""
        gone = [
            name
            for name, member in self.members.items()
            if not member.alive and now - member.heard > self.timing.drop_after
        ]
        for name in gone:
            self.by_tag.pop(self.members.pop(name).identity.tag, None)
        return gone

    def alive(self) -> Iterable[Member]:
        """Return the living members."""
        return [member for member in self.members.values() if member.alive]

    def peers(self, now: timedelta) -> tuple[Peer, ...]:
        """Return the living members as others should see them."""
        return tuple(
            Peer(
                member.identity.instance,
                member.identity.zone,
                member.identity.address,
                now - member.heard,
            )
            for member in self.alive()
        )
