"""Plots of measurements as PNG images."""

import io
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from matplotlib.figure import Figure
from matplotlib.ticker import MaxNLocator, ScalarFormatter

from .measurement import Measurement, RequestResult, Sample

#: A request whose first token takes longer counts as late, in seconds.
LATE_S = 1.0
_MS_IN_S = 1000
_WIDTH_IN = 9.0
_HEIGHT_IN = 3.2
_DPI = 110
_COLUMNS = 2
_HEADROOM = 1.3
_LONGEST_SHARE = 0.999
_SERVED_COLOUR = 'tab:green'
_LATE_COLOUR = 'tab:orange'
_REFUSED_COLOUR = 'tab:red'


@dataclass(frozen=True)
class Plot:
    """An image and what it shows."""

    title: str
    png: bytes


def plots_of(measured: Measurement) -> Iterator[Plot]:
    """Yield all plots that a measurement has data for."""
    yield _plot('Service by organisation', _service, measured)
    yield _plot('Time to the first token', _first_token, measured)
    yield _plot('Time between tokens', _gaps, measured)
    if measured.samples:
        yield _plot('Replicas', _replicas, measured)
        yield _plot('Accelerators in no complete replica', _stranded, measured)
        yield _plot('Versions in force', _versions, measured)


def _plot(
    title: str,
    draw: Callable[[Figure, Measurement], None],
    measured: Measurement,
) -> Plot:
    figure = Figure(figsize=(_WIDTH_IN, _HEIGHT_IN), layout='constrained')
    draw(figure, measured)
    image = io.BytesIO()
    figure.savefig(image, format='png', dpi=_DPI)
    return Plot(title, image.getvalue())


def _service(figure: Figure, measured: Measurement) -> None:
    """Draw requests a second by outcome, a panel for each organisation."""
    names = sorted({request.organisation for request in measured.requests})
    rows = -(-len(names) // _COLUMNS) or 1
    figure.set_size_inches(_WIDTH_IN, 1 + 1.5 * rows)
    panels = figure.subplots(rows, _COLUMNS, sharex=True, squeeze=False)
    for panel, name in zip(panels.flat, names, strict=False):
        found = [
            request
            for request in measured.requests
            if request.organisation == name
        ]
        _stack(panel, found)
        panel.set_title(name, fontsize='small')
        _mark(panel, measured)
    for panel in panels.flat[len(names) :]:
        panel.set_visible(False)
    handles, labels = panels.flat[0].get_legend_handles_labels()
    figure.legend(
        handles,
        labels,
        fontsize='small',
        loc='outside upper right',
        ncols=len(labels),
    )
    figure.supxlabel('time of arrival (s)', fontsize='small')
    figure.supylabel('requests a second', fontsize='small')


def _stack(panel: Any, requests: Sequence[RequestResult]) -> None:
    outcomes = (
        ('served', _SERVED_COLOUR),
        (f'served late (> {LATE_S:g} s)', _LATE_COLOUR),
        ('refused or cut', _REFUSED_COLOUR),
    )
    seconds = range(int(max(request.at_s for request in requests)) + 1)
    counts = [Counter[int](), Counter[int](), Counter[int]()]
    for request in requests:
        counts[_outcome(request)][int(request.at_s)] += 1
    bottom = [0 for _ in seconds]
    for (label, colour), count in zip(outcomes, counts, strict=True):
        heights = [count[second] for second in seconds]
        panel.bar(
            seconds,
            heights,
            1.0,
            bottom,
            label=label,
            color=colour,
            align='edge',
        )
        bottom = [sum(pair) for pair in zip(bottom, heights, strict=True)]
    # The marks are written above the highest bar.
    panel.set_ylim(0, max(bottom) * _HEADROOM)


def _outcome(request: RequestResult) -> int:
    if request.code:
        return 2
    return int(request.first_token_s > LATE_S)


def _first_token(figure: Figure, measured: Measurement) -> None:
    panel = figure.subplots()
    served = [request for request in measured.requests if not request.code]
    panel.plot(
        [request.at_s for request in served],
        [request.first_token_s * _MS_IN_S for request in served],
        '.',
        markersize=3,
        label='one request',
    )
    _mark(panel, measured)
    _label(panel, 'time of arrival (s)', 'time to the first token (ms)')
    panel.set_yscale('log')
    panel.yaxis.set_major_formatter(ScalarFormatter())
    panel.yaxis.set_minor_formatter(ScalarFormatter())
    panel.tick_params(which='minor', labelsize='x-small')


def _gaps(figure: Figure, measured: Measurement) -> None:
    panel = figure.subplots()
    gaps_ms = sorted(
        gap_s * _MS_IN_S
        for request in measured.requests
        for gap_s in request.gaps_s
    )
    share = [(rank + 1) / len(gaps_ms) for rank in range(len(gaps_ms))]
    panel.plot(gaps_ms, share)
    _label(panel, 'time between tokens (ms)', 'share of gaps at most as long')
    if gaps_ms:
        panel.set_xlim(0, gaps_ms[int(len(gaps_ms) * _LONGEST_SHARE)] * 2)


def _replicas(figure: Figure, measured: Measurement) -> None:
    panel = figure.subplots()
    _step(panel, measured, lambda sample: sample.replicas, 'complete replicas')
    panel.axhline(
        measured.wanted, color='tab:gray', linestyle='--', label='wanted'
    )
    panel.set_ylim(0, panel.get_ylim()[1] * _HEADROOM)
    _mark(panel, measured)
    panel.legend(fontsize='small', loc='lower left')
    _label(panel, 'time (s)', 'replicas')


def _stranded(figure: Figure, measured: Measurement) -> None:
    panel = figure.subplots()
    _step(panel, measured, lambda sample: sample.stranded, 'in no replica')
    panel.set_ylim(0, panel.get_ylim()[1] * _HEADROOM)
    _mark(panel, measured)
    _label(panel, 'time (s)', 'accelerators in no complete replica')


def _versions(figure: Figure, measured: Measurement) -> None:
    panel = figure.subplots()
    for label, choose, style in (('newest', max, '-'), ('oldest', min, '--')):
        points = [
            (sample.at_s, choose(node.version for node in sample.versions))
            for sample in measured.samples
            if sample.versions
        ]
        panel.step(
            [at_s for at_s, _ in points],
            [version for _, version in points],
            where='post',
            linestyle=style,
            label=f'{label} of all routers and controllers',
        )
    panel.margins(y=1 - 1 / _HEADROOM)
    _mark(panel, measured)
    panel.yaxis.set_major_locator(MaxNLocator(integer=True))
    panel.legend(fontsize='small', loc='lower right')
    _label(panel, 'time (s)', 'version in force')


def _step(
    panel: Any,
    measured: Measurement,
    value: Callable[[Sample], int],
    label: str,
) -> None:
    panel.step(
        [sample.at_s for sample in measured.samples],
        [value(sample) for sample in measured.samples],
        where='post',
        label=label,
    )


def _mark(panel: Any, measured: Measurement) -> None:
    for mark in measured.marks:
        panel.axvline(mark.at_s, color='black', linewidth=0.8, linestyle=':')
        panel.annotate(
            mark.what,
            (mark.at_s, 1),
            xycoords=('data', 'axes fraction'),
            xytext=(2, -9),
            textcoords='offset points',
            fontsize='x-small',
        )


def _label(panel: Any, horizontal: str, vertical: str) -> None:
    panel.set_xlabel(horizontal)
    panel.set_ylabel(vertical)
    panel.grid(visible=True, alpha=0.3)
