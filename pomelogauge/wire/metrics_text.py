"""Metrics in the usual text form of pull-based monitoring."""

from collections.abc import Iterator

from ..model.metrics import CounterValue, MetricsSnapshot, TimingValue

#: Media type of the text.
MEDIA_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


def metrics_text(snapshot: MetricsSnapshot) -> str:
    """Return all metrics, one a line."""
    lines = [
        *_counter_lines(snapshot.counters),
        *_timing_lines(snapshot.timings),
    ]
    return '\n'.join([*lines, ''])


def _counter_lines(counters: tuple[CounterValue, ...]) -> Iterator[str]:
    last = None
    for counter in counters:
        if counter.counter != last:
            yield f'# TYPE {counter.counter} counter'
        last = counter.counter
        label = _label('label', counter.label) if counter.label else ''
        yield f'{counter.counter}{label} {counter.total}'


def _timing_lines(timings: tuple[TimingValue, ...]) -> Iterator[str]:
    for timing in timings:
        yield f'# TYPE {timing.timing} summary'
        for quantile in timing.quantiles:
            label = _label('quantile', str(quantile.fraction))
            yield f'{timing.timing}{label} {quantile.seconds:.6f}'
        yield f'{timing.timing}_sum {timing.sum_s:.6f}'
        yield f'{timing.timing}_count {timing.count}'


def _label(name: str, text: str) -> str:
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    oneline = escaped.replace('\n', r'\n')
    return f'{{{name}="{oneline}"}}'
