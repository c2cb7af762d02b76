"""In-flight requests as instances tell each other about them."""

from collections.abc import Callable
from datetime import timedelta

from ..gossip.kinds.load import Part as NotedPart
from ..gossip.kinds.load import WorkNote
from ..gossip.state import HeardWork
from ..ids import EndpointId, InstanceId, RequestId
from ..placement.load_tracker import HeldTokens, InFlightRequest, PrefillPart
from ..routing.engine import EngineFigures

MILLISECOND = timedelta(milliseconds=1)

EngineFiguresLookup = Callable[[EndpointId], EngineFigures | None]


def peer_in_flight_request(
    instance: InstanceId,
    peer_work: HeardWork,
    engine_figures: EngineFiguresLookup,
    now: timedelta,
) -> InFlightRequest:
    """Return a peer's in-flight request, with times on the kernel's clock."""
    note = peer_work.note
    received_at = now - peer_work.age
    first = note.writing_ms
    pause = note.longest_pause_ms * MILLISECOND
    return InFlightRequest(
        request=peer_request_id(instance, note.number),
        host=note.host,
        parts=prefill_parts(note, engine_figures),
        held=tuple(HeldTokens(each.helper, each.tokens) for each in note.held)
        if note.held
        else (),
        prompt_tokens=note.prompt_tokens,
        answer_tokens=note.answer_tokens,
        longest_pause=pause or None,
        started_at=received_at - note.age_ms * MILLISECOND,
        first_token_at=None if first is None else received_at - first * MILLISECOND,
    )


def prefill_parts(
    note: WorkNote, engine_figures: EngineFiguresLookup
) -> tuple[PrefillPart, ...]:
    """Return the prefill part of each engine for a peer's prompt."""
    figures = engine_figures(note.host)
    if figures is None:
        return ()
    if not note.parts:
        tokens = note.prompt_tokens
        return (PrefillPart(note.host, tokens, figures.prefill_ms(tokens, tokens)),)
    helper_tokens = sum(part.tokens for part in note.parts)
    shares = [NotedPart(note.host, note.prompt_tokens - helper_tokens), *note.parts]
    return tuple(
        PrefillPart(
            each.helper,
            each.tokens,
            figures.prefill_ms(each.tokens, note.prompt_tokens),
        )
        for each in shares
    )


def peer_request_id(instance: InstanceId, number: int) -> RequestId:
    """Return the local id of a peer's request."""
    return RequestId(f"{instance}/{number}")


def work_note(work: InFlightRequest, now: timedelta) -> WorkNote:
    """Return the work note that peers receive for an own request."""
    first = work.first_token_at
    pause = work.longest_pause or timedelta(0)
    return WorkNote(
        number=int(work.request),
        host=work.host,
        prompt_tokens=work.prompt_tokens,
        answer_tokens=work.answer_tokens,
        longest_pause_ms=int(pause / MILLISECOND),
        age_ms=int((now - work.started_at) / MILLISECOND),
        writing_ms=None if first is None else int((now - first) / MILLISECOND),
        parts=tuple(
            NotedPart(part.endpoint, part.tokens)
            for part in work.parts
            if part.endpoint != work.host
        ),
        held=tuple(NotedPart(held.endpoint, held.tokens) for held in work.held),
    )
