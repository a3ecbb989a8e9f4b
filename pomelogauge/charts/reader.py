"""Reads chart files of the package and binds them to the code."""

from collections.abc import Hashable
from functools import cache
from pathlib import Path
from typing import Any

import yaml
from sismic.io.datadict import import_from_dict

from ..model.chart import ActionT, Chart, EventT, FactsT, StateT, Vocabulary
from ..model.errors import Finding, FindingsError, SourceLocation
from .binder import Binder
from .graph import ChartGraph


class _UniqueKeyLoader(yaml.CSafeLoader):
    """Safe loader that rejects a mapping with the same key twice."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        """Build a mapping.

        Raises
        ------
        yaml.constructor.ConstructorError
            A key comes twice.

        """
        mapping = super().construct_mapping(node, deep)
        if len(mapping) < len(node.value):
            raise yaml.constructor.ConstructorError(
                None, None, 'a key comes twice', node.start_mark
            )
        return mapping


def load_chart(
    name: str,
    vocabulary: Vocabulary[StateT, EventT, ActionT, FactsT],
) -> Chart[StateT, EventT, ActionT, FactsT]:
    """Read a chart file of the package and bind it to the code.

    Each is read once in a process: charts are never changed.

    Parameters
    ----------
    name
        Name of the file without its suffix.
    vocabulary
        States, events, actions and guards of the code.

    Raises
    ------
    FindingsError
        The file is not a state chart, or its names and those in the code
        differ.

    """
    return _load(name, vocabulary)


@cache
def _load(
    name: str, vocabulary: Vocabulary[Any, Any, Any, Any]
) -> Chart[Any, Any, Any, Any]:
    return bind_text(name, chart_text(name), vocabulary)


def chart_text(name: str) -> str:
    """Return the text of a chart file of the package, by name."""
    path = Path(__file__).with_name(f'{name}.yaml')
    return path.read_text(encoding='utf-8')


def bind_text(
    name: str,
    text: str,
    vocabulary: Vocabulary[StateT, EventT, ActionT, FactsT],
) -> Chart[StateT, EventT, ActionT, FactsT]:
    """Parse the text of a chart and bind it to the code.

    Raises
    ------
    FindingsError
        The text is not a state chart, or its names and those in the code
        differ.

    """
    graph = parse_chart(name, text)
    return Binder(f'{name}.yaml', graph, vocabulary).chart(name)


def parse_chart(name: str, text: str) -> ChartGraph:
    """Parse the text of a chart, without a check against the code.

    Raises
    ------
    FindingsError
        The text is not a state chart.

    """
    try:
        document = yaml.load(text, _UniqueKeyLoader)
        return ChartGraph(import_from_dict(document))
    except Exception as exc:
        # The library passes on the exceptions of its parsers, which have many
        # types.
        message = (str(exc).strip() or type(exc).__name__).splitlines()[0]
        finding = Finding(SourceLocation(f'{name}.yaml'), message)
        raise FindingsError([finding]) from exc
