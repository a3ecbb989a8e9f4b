"""Reads chart files."""

from importlib.resources import files

from sismic.io import import_from_yaml

from ..model.chart import ActionT, Chart, EventT, FactsT, StateT, Vocabulary
from ..model.errors import Finding, FindingsError, SourceLocation
from .binder import Binder
from .graph import ChartGraph


def load_chart(
    name: str,
    words: Vocabulary[StateT, EventT, ActionT, FactsT],
) -> Chart[StateT, EventT, ActionT, FactsT]:
    """Read a chart of the package and bind it.

    Parameters
    ----------
    name
        File name without its ending.
    words
        Names in the code.

    Raises
    ------
    FindingsError
        The file is no chart, or the chart and the code disagree.

    """
    return bind_text(name, chart_text(name), words)


def chart_text(name: str) -> str:
    """Return the text of a chart file of the package."""
    path = files('pomelogauge.charts').joinpath(f'{name}.yaml')
    return path.read_text(encoding='utf-8')


def bind_text(
    name: str,
    text: str,
    words: Vocabulary[StateT, EventT, ActionT, FactsT],
) -> Chart[StateT, EventT, ActionT, FactsT]:
    """Bind the text of a chart.

    Raises
    ------
    FindingsError
        The text is no chart, or the chart and the code disagree.

    """
    graph = parse_chart(name, text)
    return Binder(f'{name}.yaml', graph, words).chart(name)


def parse_chart(name: str, text: str) -> ChartGraph:
    """Parse the text of a chart.

    Raises
    ------
    FindingsError
        The text is no state chart.

    """
    try:
        return ChartGraph(import_from_yaml(text))
    except Exception as exc:
        # The library lets errors of its parsers through, of many types.
        said = (str(exc).strip() or type(exc).__name__).splitlines()[0]
        finding = Finding(SourceLocation(f'{name}.yaml'), said)
        raise FindingsError([finding]) from exc
