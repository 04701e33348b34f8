"""Export of the process's metrics in the Prometheus text format."""

from functools import cache

from opentelemetry import metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

METRICS_MEDIA_TYPE = CONTENT_TYPE_LATEST


@cache
def install_exporter() -> None:
    """Install the exporter of the process's metrics; further calls do nothing."""
    resource = Resource.create({"service.name": "damaskdeck"})
    provider = MeterProvider([PrometheusMetricReader()], resource)
    metrics.set_meter_provider(provider)


def read_metrics() -> bytes:
    """Return the metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
