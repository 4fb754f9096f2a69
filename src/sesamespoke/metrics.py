"""Counters and gauges of one router, by OpenTelemetry.

Every router has its own provider, so that several may run in one process.
"""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import (
    CallbackOptions,
    Counter,
    Histogram,
    Observation,
)
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

LATENCY_BUCKETS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
    20,
)
"""Bounds in seconds, from a plain call's work to a long stream."""

Reading = tuple[float, dict[str, str]]


class Metrics:
    """Named instruments and their scrape page."""

    def __init__(self, host: str) -> None:
        """Create a provider that names the host in its resource."""
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        resource = Resource.create({'service.instance.id': host})
        self._provider = MeterProvider([reader], resource)
        self._meter = self._provider.get_meter('sesamespoke')
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._meter.create_counter(name)
            self._counters[name] = counter
        counter.add(amount, labels)

    def observe(self, name: str, amount: float, **labels: str) -> None:
        """Add an observation, in seconds, to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(
                name,
                unit='s',
                explicit_bucket_boundaries_advisory=LATENCY_BUCKETS,
            )
            self._histograms[name] = histogram
        histogram.record(amount, labels)

    def gauge(self, name: str, read: Callable[[], Iterable[Reading]]) -> None:
        """Register a gauge whose readings are taken at each scrape."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(*reading) for reading in read()]

        self._meter.create_observable_gauge(name, [observe])

    def scrape(self) -> bytes:
        """Return the page in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut the provider down."""
        self._provider.shutdown()
