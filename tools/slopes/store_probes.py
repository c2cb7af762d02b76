"""What claims and changes of the configuration cost a node."""

from datetime import timedelta

from mimosafork.claims.book import ClaimBook
from mimosafork.claims.writer import LARGEST_BATCH
from mimosafork.clock import ManualClock
from mimosafork.configuration.revisions import Revisions
from mimosafork.ids import (
    ClaimId,
    ClaimKey,
    Digest,
    Incarnation,
    InstanceId,
    RequestId,
    Revision,
)
from mimosafork.kernel.messages.claims import Claim, WriteClaim
from mimosafork.manifest.canonical import canonical_text, digest_of
from mimosafork.manifest.keys import hash_key
from mimosafork.manifest.parser import parse_manifest

from .probe import Unit, memory, probe, processor_time

FLEET_SECTIONS = """\
[manifest]
format = 1
[fleet]
long_prompt_tokens = 32768
long_share = 0.5
default_deadline = 1min
longest_deadline = 1h
retry_budget = 0.1
ejected_share = 0.3
max_attempts = 3
[model reader]
version = 1
max_prompt_tokens = 2000000
max_output_tokens = 4096
adapters =
"""

ACCOUNT_SECTION = """\
[account account-{number:05d}]
key_hashes = {key_hash}
tokens_per_second = 500
burst_tokens = 1000
weight = 1
models = reader
"""


def manifest_text(accounts: int) -> str:
    """Return the canonical manifest of so many client accounts."""
    sections = [
        ACCOUNT_SECTION.format(number=number, key_hash=hash_key(f"key {number}"))
        for number in range(accounts)
    ]
    return canonical_text(parse_manifest(FLEET_SECTIONS + "".join(sections)))


@probe(
    "configuration_read_time",
    "client accounts in the manifest",
    Unit.MICROSECONDS,
    "configuration/revisions.py, manifest/",
    (500, 1_000, 2_100),
)
def configuration_read_time(size: int) -> float:
    """Return the time of a starting instance's first read of a whole text."""
    text = manifest_text(size)
    revisions = Revisions()
    with processor_time() as meter:
        _take(revisions, 1, text)
    return meter.cost


@probe(
    "configuration_change_time",
    "client accounts in the manifest",
    Unit.MICROSECONDS,
    "configuration/revisions.py, manifest/",
    (500, 1_000, 2_100),
)
def configuration_change_time(size: int) -> float:
    """Return the time of putting a change of one key in force."""
    text = manifest_text(size)
    revisions = Revisions()
    _take(revisions, 1, text)
    changed = text.replace("long_share = 0.5", "long_share = 0.25")
    with processor_time() as meter:
        _take(revisions, 2, changed)
    return meter.cost


def _take(revisions: Revisions, number: int, text: str) -> None:
    if not revisions.take(Revision(number), digest_of(text), text, "probe"):
        raise RuntimeError("the probe's manifest was not taken")


@probe(
    "configuration_memory",
    "client accounts in the manifest",
    Unit.BYTES,
    "configuration/revisions.py, manifest/",
    (500, 1_000, 2_100),
)
def configuration_memory(size: int) -> float:
    """Return the memory of a configuration that is in force, with its text."""
    text = manifest_text(size)
    digest = digest_of(text)
    with memory() as meter:
        revisions = Revisions()
        revisions.take(Revision(1), digest, text, "probe")
    del revisions
    return meter.cost + len(text)


@probe(
    "claim_time",
    "claims",
    Unit.MICROSECONDS,
    "claims/book.py",
    (500, 1_000, 2_000),
)
def claim_time(size: int) -> float:
    """Return the time of claiming so many keys, in batches, until they are told."""
    now = ManualClock().now()
    book = ClaimBook()
    with processor_time() as meter:
        for number in range(size):
            book.claim(_claim(number), now)
            if (number + 1) % LARGEST_BATCH == 0:
                _settle(book)
        _settle(book)
    return meter.cost


def _settle(book: ClaimBook) -> None:
    batch = book.batch(LARGEST_BATCH)
    book.settle_committed(batch, tuple(range(1, len(batch) + 1)))


def _claim(number: int) -> WriteClaim:
    claim = Claim(
        claim_id=ClaimId(f"claim-{number}"),
        body_digest=Digest(f"{number:032x}"),
        owner=InstanceId("instance-0"),
        incarnation=Incarnation(1),
        generation=1,
        time_left=timedelta(seconds=60),
    )
    key = ClaimKey(f"account/{number:032x}")
    return WriteClaim(RequestId(f"request-{number}"), key, claim, required=True)
