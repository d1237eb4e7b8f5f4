"""Metrics: HDR histograms of latency and counters, also in the Prometheus text format."""

import threading
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class OutcomeKey(NamedTuple):
    """Labels by which outcomes are counted."""

    service: str
    traffic_class: str
    outcome: str
    reason: str


class Gauge(NamedTuple):
    """Values that are read when metrics are collected.

    Args:
        name: Name of the metric, with its unit.
        label: Label that tells the values apart.
        read: Returns the current value by label value.
    """

    name: str
    label: str
    read: Callable[[], Mapping[str, float]]


class Metrics:
    """Counters, histograms and gauges of one node; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._latency: dict[str, HdrHistogram] = {}
        self._outcomes: Counter[OutcomeKey] = Counter()
        self._counters: Counter[str] = Counter()
        self._gauges: list[Gauge] = []

    def record(self, key: OutcomeKey, latency_s: float) -> None:
        """Record a request's outcome and its latency at this ingress."""
        with self._lock:
            self._outcomes[key] += 1
            histogram = self._latency.get(key.service)
            if histogram is None:
                histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
                self._latency[key.service] = histogram
            histogram.record_value(max(LOWEST_US, int(latency_s * 1e6)))

    def count(self, name: str, by: int = 1) -> None:
        """Add to a plain counter, which starts at 0."""
        with self._lock:
            self._counters[name] += by

    def add_gauge(self, gauge: Gauge) -> None:
        """Add a gauge."""
        self._gauges.append(gauge)

    @property
    def gauges(self) -> list[Gauge]:
        """All gauges."""
        return self._gauges

    def get(self, name: str) -> int:
        """Return a plain counter, 0 if it was never counted."""
        return self._counters[name]

    def counters(self) -> dict[str, int]:
        """Return a copy of all plain counters."""
        with self._lock:
            return dict(self._counters)

    def summary(self) -> dict[str, Any]:
        """Return all metrics as JSON values; latencies in milliseconds."""
        with self._lock:
            latency = {
                service: {
                    "count": histogram.get_total_count(),
                    **{
                        f"p{percentile:g}_ms": histogram.get_value_at_percentile(percentile) / 1e3
                        for percentile in PERCENTILES
                    },
                }
                for service, histogram in self._latency.items()
            }
            outcomes = [{**k._asdict(), "count": n} for k, n in self._outcomes.items()]
            return {
                "latency": latency,
                "outcomes": outcomes,
                "counters": dict(self._counters),
                "gauges": {gauge.name: dict(gauge.read()) for gauge in self._gauges},
            }

    def prometheus(self) -> str:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(_Collector(self))
        return generate_latest(registry).decode()


class _Collector:
    """Custom Prometheus collector over the metrics summary."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Any]:
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        summary = self._metrics.summary()
        names = list(OutcomeKey._fields)
        outcomes = CounterMetricFamily("roadpass_requests", "Requests by outcome.", labels=names)
        for row in summary["outcomes"]:
            outcomes.add_metric([row[name] for name in names], row["count"])
        yield outcomes
        latency = GaugeMetricFamily(
            "roadpass_request_latency_ms", "Latency.", labels=["service", "percentile"]
        )
        for service, row in summary["latency"].items():
            for percentile in PERCENTILES:
                value = row[f"p{percentile:g}_ms"]
                latency.add_metric([service, f"{percentile:g}"], value)
        yield latency
        for name, value in summary["counters"].items():
            yield CounterMetricFamily(f"roadpass_{name}", "Plain counter.", value=value)
        for gauge in self._metrics.gauges:
            family = GaugeMetricFamily(f"roadpass_{gauge.name}", "Gauge.", labels=[gauge.label])
            for label, value in summary["gauges"][gauge.name].items():
                family.add_metric([label], value)
            yield family
