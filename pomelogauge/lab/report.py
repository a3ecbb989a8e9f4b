"""Renders measurements as one HTML page that needs no other file."""

import base64
from collections.abc import Iterable, Iterator
from html import escape
from itertools import pairwise
from pathlib import Path

from .load_command import distributions
from .measurement import Measurement, read_measurement
from .plots import LATE_S, plots_of

_HEAD = """<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>pomelogauge measurements</title>
<style>
body { font: 15px/1.4 sans-serif; margin: 2em auto; max-width: 62em; }
img { max-width: 100%; }
table { border-collapse: collapse; }
th, td { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
code { background: #eee; padding: 0.1em 0.3em; }
</style>
</head>
<body>
<h1>Measurements</h1>
"""
_FOOT = '</body>\n</html>\n'


def write_report(sources: Iterable[Path], page: Path) -> None:
    """Read measurements and write their page.

    Raises
    ------
    UserError
        A file is no measurement.

    """
    measured = tuple(read_measurement(path) for path in sources)
    page.parent.mkdir(parents=True, exist_ok=True)
    page.write_text(render(measured), encoding='utf-8')


def render(measured: Iterable[Measurement]) -> str:
    """Return the page of some measurements."""
    sections = (''.join(_section(one)) for one in measured)
    return f'{_HEAD}{"".join(sections)}{_FOOT}'


def _section(measured: Measurement) -> Iterator[str]:
    yield f'<h2>{escape(measured.title)}</h2>\n'
    yield f'<p><code>{escape(measured.command)}</code>, '
    yield f'seed {measured.seed}</p>\n'
    yield _times(measured)
    yield ''.join(_organisations(measured))
    if measured.samples:
        yield _state(measured)
    for plot in plots_of(measured):
        data = base64.b64encode(plot.png).decode()
        title = escape(plot.title)
        yield f'<h3>{title}</h3>\n'
        yield f'<img alt="{title}" src="data:image/png;base64,{data}">\n'


def _times(measured: Measurement) -> str:
    lines = ['<table><tr><th>time (ms)</th><th>count</th><th>median</th>']
    lines.append('<th>95 in 100</th><th>99 in 100</th><th>longest</th></tr>\n')
    names = ('to the first token', 'between tokens')
    for name, found in zip(
        names, distributions(measured.requests), strict=True
    ):
        lines.append(
            f'<tr><th>{name}</th><td>{found.count}</td>'
            f'<td>{found.median_ms:.1f}</td><td>{found.p95_ms:.1f}</td>'
            f'<td>{found.p99_ms:.1f}</td><td>{found.max_ms:.1f}</td></tr>\n'
        )
    return f'{"".join(lines)}</table>\n'


def _organisations(measured: Measurement) -> Iterator[str]:
    yield '<table><tr><th>organisation</th><th>requests</th><th>served</th>'
    yield f'<th>late (&gt; {LATE_S:g} s)</th><th>refused or cut</th></tr>\n'
    names = sorted({request.organisation for request in measured.requests})
    for name in names:
        found = [
            request
            for request in measured.requests
            if request.organisation == name
        ]
        refused = sum(bool(request.code) for request in found)
        late = sum(request.first_token_s > LATE_S for request in found)
        yield f'<tr><th>{escape(name)}</th><td>{len(found)}</td>'
        yield f'<td>{len(found) - refused}</td><td>{late}</td>'
        yield f'<td>{refused}</td></tr>\n'
    yield '</table>\n'


def _state(measured: Measurement) -> str:
    """Return downtime and idle accelerators, summed over the samples."""
    down_s = 0.0
    idle_s = 0.0
    for before, after in pairwise(measured.samples):
        passed_s = after.at_s - before.at_s
        down_s += max(0, measured.wanted - before.replicas) * passed_s
        idle_s += before.stranded * passed_s
    return (
        f'<p>Replica downtime: {down_s:.1f} replica-seconds. '
        f'In no complete replica: {idle_s:.0f} accelerator-seconds.</p>\n'
    )
