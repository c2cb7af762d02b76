"""docs/METRICS.md, from the catalogue of instruments."""

from pathlib import Path

from mimosafork.telemetry.metrics import all_instruments

from .page import Page, code, table

PATH = Path("docs/METRICS.md")
INTRODUCTION = """# Metrics

Every instance exposes its metrics in Prometheus' text format under `/metrics` on
its health address, a gateway at that of `[listen] metrics`. Names are those of
OpenTelemetry, and beside them the name that stands on the page. `make docs` writes
this page from the code.

"""


def metrics_page() -> Page:
    """Return the page of all instruments, by name."""
    header = ("metric", "on the page", "kind", "unit", "attributes", "what it counts")
    rows = [
        (
            code(each.name),
            code(each.exposed_name),
            each.kind.value,
            code(each.unit),
            ", ".join(code(name) for name in each.attributes),
            each.description,
        )
        for each in all_instruments()
    ]
    return Page(PATH, INTRODUCTION + table(header, rows))
