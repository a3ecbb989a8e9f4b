"""Renders the state charts as Mermaid diagrams for the documentation."""

from collections.abc import Iterator
from importlib.resources import files

from sismic.model import Transition

from .graph import ChartGraph
from .reader import chart_text, parse_chart

_HEAD = """# State charts

The diagrams are made from `pomelogauge/charts/*.yaml` by `pomelogauge charts-page`. A label reads `event [guard] / action`; what a state ignores is left out.
"""


def chart_names() -> tuple[str, ...]:
    """Return the names of all chart files, sorted and without suffix."""
    folder = files('pomelogauge.charts')
    names = (path.name for path in folder.iterdir())
    charts = (name for name in names if name.endswith('.yaml'))
    return tuple(sorted(name.removesuffix('.yaml') for name in charts))


def render_charts_page() -> str:
    """Return the Markdown page with the diagrams of all charts."""
    sections = (_section(name) for name in chart_names())
    return '\n'.join((_HEAD, *sections))


def _section(name: str) -> str:
    graph = parse_chart(name, chart_text(name))
    lines = (
        f'## {name}',
        '',
        '```mermaid',
        'stateDiagram-v2',
        f'  [*] --> {graph.initial}',
        *_arrows(graph),
        '```',
        '',
    )
    return '\n'.join(lines)


def _arrows(graph: ChartGraph) -> Iterator[str]:
    for state in graph.leaves:
        for step in graph.transitions_of(state):
            if step.target:
                target = graph.initial_leaf(step.target)
                yield f'  {state} --> {target}: {_label(step)}'
            elif step.action:
                yield f'  {state} --> {state}: {_label(step)}'


def _label(step: Transition) -> str:
    guard = f' [{step.guard}]' if step.guard else ''
    action = f' / {step.action}' if step.action else ''
    return f'{step.event}{guard}{action}'
