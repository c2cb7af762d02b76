"""Holdings beside running streams: reservations, imports and exports."""

from hashlib import blake2b

from ..refusals import RefusalReason, RefusedError
from .memory import Holding, HoldingKey, KvMemory
from .messages import (
    ExportAnswer,
    ExportContent,
    HoldingEntry,
    HoldingKind,
    ImportStart,
    ReservationStart,
    StreamStart,
)
from .streams import Stream
from .timers import Timers

EXPORT_DIGEST_BYTES = 16


class Holdings:
    """Takes, lists and passes on holdings, and lets them expire.

    Parameters
    ----------
    memory : KvMemory
        Where they are held.
    timers : Timers
        By which they expire.
    import_share : int
        An import takes one token of memory for this many imported.
    """

    def __init__(self, memory: KvMemory, timers: Timers, import_share: int) -> None:
        self.memory = memory
        self.timers = timers
        self.import_share = import_share
        self.exports = 0

    def reserve(self, start: ReservationStart, now_s: float) -> None:
        """Hold memory for a stream to come.

        Raises
        ------
        RefusedError
            If the memory is not free or the id is held already.
        """
        self._hold(
            Holding(
                kind=HoldingKind.RESERVATION,
                id=start.id,
                owner=start.owner,
                tokens=start.tokens,
                expires_s=now_s + start.ttl_s,
            )
        )

    def import_kv(
        self, start: ImportStart, content: ExportContent, now_s: float
    ) -> None:
        """Hold KV that was pulled from another engine.

        Raises
        ------
        RefusedError
            If the memory is not free or the id is held already.
        """
        self._hold(
            Holding(
                kind=HoldingKind.RESERVATION,
                id=start.id,
                owner=start.owner,
                tokens=-(-content.tokens // self.import_share),
                expires_s=now_s + start.ttl_s,
                segments=content.segments,
                joined_tokens=content.tokens,
            )
        )

    def export(self, stream: Stream) -> str:
        """Keep the KV of a stream whose memory was freed just now.

        Returns
        -------
        str
            The handle of the export.
        """
        self.exports += 1
        holding = Holding(
            kind=HoldingKind.EXPORT,
            id=f"kv-{self.exports}-{stream.id}",
            owner=stream.owner,
            tokens=max(stream.holding.tokens - stream.output_tokens, 0),
            expires_s=stream.deadline_s,
            pinned=stream.holding.pinned,
            segments=stream.segments,
            joined_tokens=stream.prompt_tokens + stream.joined_tokens,
        )
        # Never refused: the stream had more memory, and the number is new.
        self._hold(holding)
        return holding.id

    def entries(self, owner: str | None, now_s: float) -> list[HoldingEntry]:
        """List the holdings, those of streams too, of one owner if it is named."""
        return [
            HoldingEntry(
                kind=holding.kind,
                id=holding.id,
                owner=holding.owner,
                tokens=holding.tokens + self.memory.cache.tokens_of(holding.pinned),
                expires_s=round(holding.expires_s - now_s, 3),
            )
            for holding in self.memory.holdings.values()
            if owner is None or holding.owner.instance == owner
        ]

    def find_import(self, import_id: str) -> Holding:
        """Return an import.

        Raises
        ------
        RefusedError
            If it is not held, or is a reservation without KV.
        """
        holding = self._find(HoldingKind.RESERVATION, import_id)
        if holding is None or not holding.segments:
            raise RefusedError(RefusalReason.MEMORY, f"no import {import_id!r} is held")
        return holding

    def take_over(
        self, stream: Stream, start: StreamStart, imports: list[Holding]
    ) -> None:
        """Give a stream what was held for it, so that it can't expire.

        Raises
        ------
        RefusedError
            If its reservation is not held.
        """
        keys = [holding.key for holding in imports]
        if start.reservation is not None:
            key = HoldingKey(HoldingKind.RESERVATION, start.reservation)
            if key not in self.memory.holdings:
                raise RefusedError(
                    RefusalReason.MEMORY, f"no reservation {start.reservation!r}"
                )
            keys.append(key)
        for key in dict.fromkeys(keys):
            taken = self.memory.free(key)
            stream.holding.tokens += taken.tokens if taken else 0
        # Never fails: just as much was freed above.
        self.memory.hold(stream.holding)

    def describe_export(self, handle: str) -> ExportAnswer | None:
        """Describe an export; None if there is none such."""
        holding = self._find(HoldingKind.EXPORT, handle)
        if holding is None:
            return None
        digest = blake2b(digest_size=EXPORT_DIGEST_BYTES)
        for segment in holding.segments:
            digest.update(segment.text.encode())
        return ExportAnswer(handle, holding.joined_tokens, digest.hexdigest())

    def export_content(self, handle: str) -> ExportContent | None:
        """Return an export for another engine; None if there is none such."""
        holding = self._find(HoldingKind.EXPORT, handle)
        if holding is None:
            return None
        return ExportContent(handle, holding.joined_tokens, holding.segments)

    def _find(self, kind: HoldingKind, holding_id: str) -> Holding | None:
        return self.memory.holdings.get(HoldingKey(kind, holding_id))

    def _hold(self, holding: Holding) -> None:
        if holding.key in self.memory.holdings:
            raise RefusedError(RefusalReason.DUPLICATE, "this id is held already")
        if not self.memory.hold(holding):
            raise RefusedError(RefusalReason.MEMORY, f"{holding.tokens} are not free")
        self._expire_later(holding)

    def _expire_later(self, holding: Holding) -> None:
        def expire(now_s: float) -> None:
            # The id may be held anew by now; only this holding expires.
            if self.memory.holdings.get(holding.key) is holding:
                self.memory.free(holding.key)

        self.timers.add(holding.expires_s, expire)
