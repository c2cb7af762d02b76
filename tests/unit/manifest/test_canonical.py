"""Tests of the canonical form, the digest, changes and the configuration."""

from datetime import timedelta
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from mimosafork.ids import AccountId, ModelId, Revision, ServiceId
from mimosafork.kernel.configuration import FleetPolicy
from mimosafork.manifest.canonical import (
    canonical_sections,
    canonical_text,
    digest_of,
    text_of,
)
from mimosafork.manifest.changes import changed_sections, changes_between
from mimosafork.manifest.convert import configuration_of
from mimosafork.manifest.errors import ApiKeyError, ChangeError
from mimosafork.manifest.keys import checked_key, hash_key, new_key
from mimosafork.manifest.model import FleetSection
from mimosafork.manifest.parser import parse_manifest
from mimosafork.settings.types import format_duration, parse_duration

from ...support.functions import function_tests
from ...support.manifests import KEY, WHOLE, manifest_with

case = TestCase()


def test_comments_and_order_do_not_change_the_digest() -> None:
    blocks = ["[" + block for block in WHOLE.split("[") if block]
    shuffled = "# reviewed\n" + "\n\n".join(reversed(blocks))
    shuffled = shuffled.replace("1min", "60s").replace("0.5", "0.50")
    before, after = parse_manifest(WHOLE), parse_manifest(shuffled)
    case.assertEqual(
        digest_of(canonical_text(before)), digest_of(canonical_text(after))
    )


def test_the_canonical_text_means_the_same() -> None:
    text = canonical_text(manifest_with(accounts=3))
    case.assertEqual(text, canonical_text(parse_manifest(text)))


@settings(deadline=None, derandomize=True)
@given(st.timedeltas(timedelta(0), timedelta(days=30)))
def check_durations(value: timedelta) -> None:
    case.assertEqual(value, parse_duration(format_duration(value)))


def test_each_duration_survives_being_written() -> None:
    check_durations()


def test_changes_lead_from_one_manifest_to_the_other() -> None:
    base = canonical_sections(manifest_with(accounts=2))
    for other in (manifest_with(0.7, accounts=1), manifest_with(accounts=12)):
        wanted = canonical_sections(other)
        changes = changes_between(base, wanted)
        case.assertEqual(text_of(wanted), text_of(changed_sections(base, changes)))
        back = changes_between(wanted, base)
        case.assertEqual(text_of(base), text_of(changed_sections(wanted, back)))
    case.assertEqual((), changes_between(base, base))


def test_changes_to_something_else_are_refused() -> None:
    base = canonical_sections(manifest_with())
    changes = changes_between(base, canonical_sections(manifest_with(0.7)))
    with case.assertRaises(ChangeError):
        changed_sections(canonical_sections(manifest_with(0.6)), changes)


def test_the_configuration_says_what_the_manifest_says() -> None:
    manifest = manifest_with(0.7)
    configuration = configuration_of(manifest, Revision(9))
    case.assertEqual(9, configuration.revision)
    case.assertEqual(digest_of(canonical_text(manifest)), configuration.digest)
    case.assertEqual(0.7, configuration.fleet.long_share)
    case.assertEqual(timedelta(hours=1), configuration.fleet.longest_deadline)
    case.assertEqual("1", configuration.models[ModelId("reader")].version)
    desk = configuration.services[ServiceId("desk")]
    case.assertEqual(("POST /submissions",), desk.non_repeatable)
    parish = configuration.accounts[AccountId("parish")]
    case.assertEqual((hash_key(KEY),), parish.key_hashes)
    case.assertEqual((ModelId("reader"),), parish.models)


def test_the_manifest_has_every_setting_of_the_fleet() -> None:
    """A setting that the kernel knows and the manifest lacks could not be reviewed."""
    known = list(FleetPolicy.__struct_fields__)
    case.assertEqual(known, list(FleetSection.model_fields))


def test_keys_that_can_be_guessed_or_mangled_are_refused() -> None:
    case.assertEqual(64, len(hash_key(checked_key(new_key()))))
    for bad in ("short", "x" * 20 + " ", "y" * 20 + "\n", "clé" * 10):
        with case.assertRaises(ApiKeyError):
            checked_key(bad)


load_tests = function_tests(__name__)
