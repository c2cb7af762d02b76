"""Metrics by OpenTelemetry, exposed on a Prometheus page.

A `Metrics` object owns its meter provider and its registry, so that two instances
in one process, as in the demonstration and in tests, do not share any state.
"""

from collections.abc import Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import (
    CallbackOptions,
    Counter,
    Histogram,
    Meter,
    Observation,
)
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from .. import __version__
from .errors import CatalogueError
from .events import catalogue_modules, check_unique
from .instruments import Instrument, Kind
from .readings import Reading, ReadingSource

__all__ = ["Metrics", "Reading", "ReadingSource", "all_instruments"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SERVICE_NAME = "mimosafork"

OBSERVABLE_KINDS = {Kind.OBSERVABLE_COUNTER, Kind.OBSERVABLE_GAUGE}


def all_instruments() -> tuple[Instrument, ...]:
    """Gather the instruments of the whole catalogue.

    Returns
    -------
    tuple of Instrument
        By name.

    Raises
    ------
    CatalogueError
        If a name stands twice.
    """
    found = [
        value
        for module in catalogue_modules()
        for value in vars(module).values()
        if isinstance(value, Instrument)
    ]
    check_unique([each.exposed_name for each in found])
    return tuple(sorted(found, key=lambda each: each.name))


class Metrics:
    """The metrics of one instance.

    Recording costs microseconds, each time: what happens for every chunk of an
    answer belongs into a total that its owner keeps and `observe` reads.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.reader = PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self.registry,
        )
        self.provider = MeterProvider(
            metric_readers=[self.reader],
            resource=Resource({"service.name": SERVICE_NAME}),
            exemplar_filter=AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        meter = self.provider.get_meter(SERVICE_NAME, __version__)
        self.meter = meter
        self.counters: dict[Instrument, Counter] = {}
        self.histograms: dict[Instrument, Histogram] = {}
        self.observed: set[Instrument] = set()
        for each in all_instruments():
            self.create(each, meter)

    def create(self, instrument: Instrument, meter: Meter) -> None:
        """Create what records an instrument; observable ones wait for a source."""
        text = (instrument.name, instrument.unit, instrument.description)
        if instrument.kind is Kind.COUNTER:
            self.counters[instrument] = meter.create_counter(*text)
        elif instrument.kind is Kind.HISTOGRAM:
            self.histograms[instrument] = meter.create_histogram(
                *text, explicit_bucket_boundaries_advisory=instrument.buckets
            )

    def add(self, counter: Instrument, amount: float = 1, **attributes: str) -> None:
        """Add to a counter.

        Parameters
        ----------
        counter : Instrument
            Of kind `Kind.COUNTER`.
        amount : int or float
            Not negative.
        **attributes : str
            Those that the catalogue names.
        """
        self.counters[counter].add(amount, attributes)

    def record(self, histogram: Instrument, value: float, **attributes: str) -> None:
        """Record a value in a histogram.

        Parameters
        ----------
        histogram : Instrument
            Of kind `Kind.HISTOGRAM`.
        value : int or float
            In its unit.
        **attributes : str
            Those that the catalogue names.
        """
        self.histograms[histogram].record(value, attributes)

    def observe(self, instrument: Instrument, source: ReadingSource) -> None:
        """Have an observable instrument read from a source.

        Parameters
        ----------
        instrument : Instrument
            Of an observable kind, without a source yet.
        source : Callable
            Returns the readings; called by whichever thread asks for the page, so
            it must only read what may be read from any thread.

        Raises
        ------
        CatalogueError
            If the kind is not observable or a source is there already.
        """
        if instrument.kind not in OBSERVABLE_KINDS:
            raise CatalogueError(f"{instrument.name} is not observable")
        if instrument in self.observed:
            raise CatalogueError(f"{instrument.name} has a source already")
        self.observed.add(instrument)

        def callback(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(each.value, dict(each.attributes)) for each in source()]

        if instrument.kind is Kind.OBSERVABLE_COUNTER:
            create = self.meter.create_observable_counter
        else:
            create = self.meter.create_observable_gauge  # type: ignore[assignment]
        create(instrument.name, [callback], instrument.unit, instrument.description)

    def page(self) -> bytes:
        """Return the Prometheus page, of type `CONTENT_TYPE`."""
        return generate_latest(self.registry)

    def shutdown(self) -> None:
        """Release the provider; nothing is recorded afterwards."""
        self.provider.shutdown()
