"""WSGI application for the health, readiness and metrics of a controller."""

from collections.abc import Callable, Iterable, Mapping

from ..model.phase import NodePhase
from ..tasks.published import Published
from .callers_http import MetricsText
from .metrics_text import MEDIA_TYPE
from .wsgi_types import StartResponse

_OK = '200 OK'
_UNAVAILABLE = '503 Service Unavailable'
_NOT_FOUND = '404 Not Found'


class HealthApp:
    """Answers ``/healthz``, ``/readyz`` and ``/metrics``.

    Parameters
    ----------
    phase
        Phase of the process; ``/readyz`` has status 503 unless it is ready.
    metrics
        Source of the text that ``/metrics`` returns.

    """

    def __init__(
        self,
        phase: Published[NodePhase],
        metrics: MetricsText,
    ) -> None:
        """Take the published phase and the source of metrics."""
        self._phase = phase
        self._metrics = metrics

    def __call__(
        self,
        environ: Mapping[str, object],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request as WSGI defines it."""
        texts: Mapping[object, Callable[[], str]] = {
            '/healthz': lambda: 'ok\n',
            '/readyz': lambda: f'{self._phase.latest()}\n',
            '/metrics': self._metrics.text,
        }
        path = environ.get('PATH_INFO')
        text = texts.get(path, lambda: 'not found\n')().encode()
        start_response(
            self._status(path, known=path in texts),
            [('Content-Type', MEDIA_TYPE), ('Content-Length', str(len(text)))],
        )
        return [text]

    def _status(self, path: object, *, known: bool) -> str:
        if not known:
            return _NOT_FOUND
        ready = self._phase.latest() is NodePhase.READY
        if path == '/readyz' and not ready:
            return _UNAVAILABLE
        return _OK
