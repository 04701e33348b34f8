"""Export of the process's metrics in the Prometheus text format.

OpenTelemetry's SDK and its exporter are imported by the functions that need them, so
that a daemon is ready before it has loaded them.
"""

import asyncio
from collections.abc import Callable
from functools import cache
from typing import TYPE_CHECKING

from damaskdeck.logs import get_logger
from damaskdeck.metrics import connect_meter, on_meter_required

if TYPE_CHECKING:
    from opentelemetry.metrics import Meter

# The media type of prometheus_client's text format.
METRICS_MEDIA_TYPE = "text/plain; version=1.0.0; charset=utf-8"

_log = get_logger("metrics")


@cache
def load_meter() -> "Meter":
    """Import the exporter and return the meter that it exports.

    It may run in any thread, as it reads no recorded metrics.
    """
    from opentelemetry import metrics
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from opentelemetry.sdk.metrics import MeterProvider
    from opentelemetry.sdk.resources import Resource

    resource = Resource.create({"service.name": "damaskdeck"})
    provider = MeterProvider([PrometheusMetricReader()], resource)
    metrics.set_meter_provider(provider)
    return provider.get_meter("damaskdeck")


@cache
def install_exporter() -> None:
    """Install the exporter of the process's metrics; further calls do nothing."""
    connect_meter(load_meter())


def read_metrics() -> bytes:
    """Return the metrics in the Prometheus text format."""
    from prometheus_client import REGISTRY, generate_latest

    return generate_latest(REGISTRY)


class DeferredExporter:
    """Installs the exporter when the metrics are read for the first time.

    The import takes 0.1 s of processor time. It runs in a thread, so that the event
    loop goes on serving callers and heartbeats. For histograms with many values it
    waits until the loop isn't saturated, as the thread would take half of its time.

    :param is_busy: returns whether the process has no processor time to spare.
    """

    def __init__(self, is_busy: Callable[[], bool] = lambda: False) -> None:
        self._installation: asyncio.Task[bool] | None = None
        self._is_busy = is_busy
        on_meter_required(self._install_unless_busy)

    def _install_unless_busy(self) -> None:
        if not self._is_busy():
            self.request_installation()

    def request_installation(self) -> "asyncio.Task[bool]":
        """Install the exporter in the background, unless that is done or in progress.

        :returns: the task, whose result is whether the exporter is installed.
        """
        if self._installation is None:
            self._installation = asyncio.ensure_future(self._install())
        return self._installation

    async def read(self) -> bytes | None:
        """Return the metrics as text, ``None`` if the exporter can't be loaded."""
        # A scrape that is cut off must not end the installation for the next one.
        is_installed = await asyncio.shield(self.request_installation())
        return read_metrics() if is_installed else None

    async def _install(self) -> bool:
        try:
            await asyncio.to_thread(load_meter)
        except Exception as error:
            _log.error(
                "The metrics can't be exported.",
                code="exporter_unavailable",
                error=repr(error),
            )
            # The next scrape tries again.
            self._installation = None
            return False
        install_exporter()
        return True
