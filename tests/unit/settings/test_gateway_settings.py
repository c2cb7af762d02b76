"""Tests of a gateway's settings: the template, the example and how faults are told."""

import re
from collections.abc import Iterator, Mapping
from contextlib import contextmanager, redirect_stdout
from datetime import timedelta
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from mimosafork.commands.settings import check
from mimosafork.platform.contracts import asks_for_account_shares
from mimosafork.settings.errors import SettingsError
from mimosafork.settings.gateway import (
    GatewaySettings,
    load_gateway_settings,
    parse_gateway_settings,
)

from ...support.functions import function_tests

case = TestCase()

ROOT = Path(__file__).resolve().parents[3]
TEMPLATE = ROOT / "deploy" / "instance.ini"
EXAMPLE = ROOT / "examples" / "gateway.ini"

FILLED = {
    "node": "front-a-1",
    "ip": "10.0.0.1",
    "zone": "zone-a",
    "region": "north",
    "listen.front": "10.0.0.1:8000",
    "listen.ready": "10.0.0.1:8001",
    "platform.address": "10.9.0.1:9000",
    "port-range.0": "7340",
    "seeds": "10.0.0.1:8009,10.0.0.2:8009",
    "bounds.grace-s": "8",
    "bounds.retry-budget-ratio": "0.2",
    "bounds.retry-slack": "102",
    "bounds.retry-window-s": "10",
    "bounds.hold-max-ms": "20000",
    "contracts": "pressure,other",
}
"""What the platform puts into the template's places."""

COLD_BOUNDS = {"bounds.cold-over": "1.5", "bounds.cold-slack": "5"}
"""Values that only some deployments have."""

SECTION = re.compile(r"\{\{#([a-z0-9.-]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
PLACE = re.compile(r"\{\{([a-z0-9.-]+)\}\}")
ZONES = {"zone-a": "north", "zone-b": "north", "zone-c": "south"}
EACH_ZONE = re.compile(r"\{\{#zones\}\}(.*?)\{\{/zones\}\}\n", re.DOTALL)


def filled_template(
    zones: Mapping[str, str] = ZONES, further: Mapping[str, str] | None = None
) -> str:
    """Return the template with its places filled; an unknown place is an error.

    Sections of values that the deployment does not have are left out.
    """

    def lines(block: re.Match[str]) -> str:
        return "".join(
            block[1].replace("{{@}}", zone).replace("{{.}}", region)
            for zone, region in zones.items()
        )

    values = FILLED | dict(further or {})
    text = EACH_ZONE.sub(lines, TEMPLATE.read_text("utf-8"))
    text = SECTION.sub(lambda section: section[2] if section[1] in values else "", text)
    return PLACE.sub(lambda place: values[place[1]], text)


def faults_in(text: str) -> list[str]:
    with case.assertRaises(SettingsError) as caught:
        parse_gateway_settings(text, "f.ini")
    return str(caught.exception).splitlines()


@contextmanager
def file_with(text: str) -> Iterator[Path]:
    with TemporaryDirectory() as folder:
        path = Path(folder, "gateway.ini")
        path.write_text(text, "utf-8")
        yield path


def test_the_filled_template_is_one_that_a_gateway_can_take() -> None:
    """A gateway dies at its start on every machine.

    The template and the model that checks it are changed apart; nobody sees it until
    the platform fills the template.
    """
    settings = parse_gateway_settings(filled_template())
    case.assertEqual("front-a-1", settings.instance.id)
    case.assertEqual(("10.0.0.1:8009", "10.0.0.2:8009"), settings.gossip.seeds)
    case.assertEqual(timedelta(seconds=8), settings.bounds.grace)
    case.assertEqual(timedelta(seconds=10), settings.bounds.retry_window)
    case.assertEqual(102, settings.bounds.retry_slack)
    case.assertEqual(ZONES, settings.zones)


def test_the_bound_of_cold_endpoints_is_set_where_the_deployment_has_it() -> None:
    """A deployment without the values must start, and treat no endpoint as cold."""
    bounds = parse_gateway_settings(filled_template(further=COLD_BOUNDS)).bounds
    case.assertEqual((1.5, 5), (bounds.cold_factor, bounds.cold_slack))
    bounds = parse_gateway_settings(filled_template()).bounds
    case.assertEqual((None, 0), (bounds.cold_factor, bounds.cold_slack))


def test_the_bound_of_cold_endpoints_is_checked() -> None:
    """A negative bound would let no request through."""
    text = filled_template(
        further={"bounds.cold-over": "-0.5", "bounds.cold-slack": "-1"}
    )
    case.assertEqual(
        [
            "f.ini: [bounds] cold_factor: '-0.5': input should be greater than or "
            "equal to 0",
            "f.ini: [bounds] cold_slack: '-1': input should be greater than or equal "
            "to 0",
        ],
        faults_in(text),
    )


def test_a_deployment_that_knows_no_instance_yet_has_no_seeds() -> None:
    text = filled_template().replace(FILLED["seeds"], "")
    case.assertEqual((), parse_gateway_settings(text).gossip.seeds)


def test_a_deployment_without_regions_of_zones_can_be_started() -> None:
    """Every instance of a deployment that states no zones refuses its settings."""
    case.assertEqual({}, parse_gateway_settings(filled_template({})).zones)
    without = filled_template().replace("[zones]\n", "")
    for zone, region in ZONES.items():
        without = without.replace(f"{zone} = {region}\n", "")
    case.assertEqual({}, parse_gateway_settings(without).zones)


def test_faults_of_zones_are_told_by_the_zone() -> None:
    """A misspelt region is taken, and restricted calls find no endpoint."""
    text = filled_template({"zone-a": "", "zone b": "north", "zone-c": "n" * 65})
    pattern = "string should match pattern '^[A-Za-z0-9][A-Za-z0-9._-]*$'"
    case.assertEqual(
        [
            f"f.ini: [zones] zone-a: '': {pattern}",
            f"f.ini: [zones] zone b: 'zone b': {pattern}",
            f"f.ini: [zones] zone-c: '{'n' * 65}': string should have at most 64 "
            "characters",
        ],
        faults_in(text),
    )
    twice = filled_template().replace("zone-c = south", "zone-a = south")
    case.assertIn("[zones] zone-a: stands twice", faults_in(twice)[0])


def test_the_template_sets_everything_that_has_a_place_in_the_model() -> None:
    text = TEMPLATE.read_text("utf-8")
    for section in GatewaySettings.model_fields:
        case.assertIn(f"[{section}]", text)


def test_account_shares_are_enabled_by_a_word_of_the_contracts_alone() -> None:
    """A deployment that does not ask for account shares gets another order.

    The key is absent, empty, or lists other words.
    """
    filled = filled_template()
    line = f"contracts = {FILLED['contracts']}"
    for text, enabled in (
        (filled, True),
        (filled.replace(line, "contracts ="), False),
        (filled.replace(line, "contracts = other, compression"), False),
        (filled.replace(line, ""), False),
        (filled.replace(f"[scheduling]\n{line}\n", ""), False),
    ):
        contracts = parse_gateway_settings(text).scheduling.contracts
        case.assertIs(enabled, asks_for_account_shares(contracts), contracts)


def test_the_example_is_one_that_a_gateway_can_take() -> None:
    case.assertEqual("entry-1", load_gateway_settings(EXAMPLE).instance.id)


def test_each_fault_is_told_by_file_section_key_and_reason() -> None:
    text = filled_template()
    text = text.replace("10.0.0.1:8000", "localhost:8000").replace("= 8s", "= 8")
    text = text.replace("= 7340", "= 73400").replace("region =", "regoin =")
    text = text.replace("level = INFO", "level = LOUD").replace("[store]", "[shop]")
    case.assertEqual(
        [
            "f.ini: [instance] region: is missing",
            "f.ini: [instance] regoin: is unknown; known are availability_zone, id, "
            "incarnation, region",
            "f.ini: [listen] front: 'localhost:8000' is no address; write IP:PORT",
            "f.ini: [store]: is missing",
            "f.ini: [gossip] first_port: '73400': input should be less than or equal "
            "to 65535",
            "f.ini: [bounds] grace: '8' is no duration; write a number and one of "
            "ms, s, min, h",
            "f.ini: [logging] level: 'LOUD': input should be 'DEBUG', 'INFO', "
            "'WARNING' or 'ERROR'",
            "f.ini: [shop]: is unknown; known are bounds, forwarding, gossip, "
            "instance, listen, logging, scheduling, store, zones",
        ],
        faults_in(text),
    )


def test_a_template_that_was_not_filled_is_refused() -> None:
    faults = faults_in(TEMPLATE.read_text("utf-8"))
    case.assertIn(
        "f.ini: [listen] front: '{{listen.front}}' is no address; write IP:PORT",
        faults,
    )


def test_a_file_that_is_not_there_is_told_by_its_name() -> None:
    with case.assertRaises(SettingsError) as caught:
        load_gateway_settings(Path("nowhere.ini"))
    expected = "nowhere.ini: can't be read: No such file or directory"
    case.assertEqual(expected, str(caught.exception))


def test_check_tells_the_instance_of_a_file_without_faults() -> None:
    printed = StringIO()
    with redirect_stdout(printed):
        check(EXAMPLE, gateway=True)
    case.assertEqual(f"{EXAMPLE}: no fault; instance entry-1\n", printed.getvalue())


def test_check_goes_by_the_program_that_reads_the_file() -> None:
    with case.assertRaises(SettingsError) as caught:
        check(EXAMPLE, gateway=False)
    case.assertIn(f"{EXAMPLE}: [front]: is missing", str(caught.exception))
    text = EXAMPLE.read_text("utf-8").replace("grace = 8s", "grace = 0s")
    with file_with(text) as path, case.assertRaises(SettingsError) as caught:
        check(path, gateway=True)
    expected = f"{path}: [bounds] grace: '0s': input should be greater than 0s"
    case.assertEqual(expected, str(caught.exception))


load_tests = function_tests(__name__)
