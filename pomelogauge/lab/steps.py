"""The step vocabulary: patterns, and the functions that carry them out."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

from cucumber_expressions.expression import (
    CucumberExpression,
)
from cucumber_expressions.parameter_type import (
    ParameterType,
)
from cucumber_expressions.parameter_type_registry import (
    ParameterTypeRegistry,
)

#: A data table of two columns, by its first one.
Table: TypeAlias = Mapping[str, str]
StepFunction: TypeAlias = Callable[..., None]
TableCheck: TypeAlias = Callable[[Table], Sequence[str]]

# The words that stand for a process which is known only when the step runs.
_TARGETS = (
    'the serving leader',
    'a serving follower',
    'the lease holder',
    'it',
    r'[a-z][a-z0-9]*(?:-[a-z0-9]+)*-\d+',
)


class StepError(Exception):
    """The state that a step asks for was not reached."""


@dataclass(frozen=True)
class StepDefinition:
    """A pattern and what it does.

    Parameters
    ----------
    expression
        Pattern with its parameters.
    run
        Takes the world, the parameters and, with ``check_table``, the table.
    check_table
        Says what is wrong with a table; ``None`` for a step without one.

    """

    expression: CucumberExpression
    run: StepFunction
    check_table: TableCheck | None = None


@dataclass(frozen=True)
class StepCall:
    """A step's function with the arguments that its text gave."""

    definition: StepDefinition
    arguments: tuple[Any, ...]

    def run(self, world: Any, table: Table) -> None:
        """Carry the step out in a world."""
        if self.definition.check_table is None:
            self.definition.run(world, *self.arguments)
        else:
            self.definition.run(world, *self.arguments, table)


class Vocabulary:
    """Step definitions in the order of their registration."""

    def __init__(self) -> None:
        """Start empty."""
        self._types = ParameterTypeRegistry()
        self._definitions: list[StepDefinition] = []
        self._types.define_parameter_type(
            ParameterType('target', list(_TARGETS), str, str, False, False)
        )

    def step(
        self,
        pattern: str,
        check_table: TableCheck | None = None,
    ) -> Callable[[StepFunction], StepFunction]:
        """Return a decorator that registers a function under a pattern."""

        def register(run: StepFunction) -> StepFunction:
            expression = CucumberExpression(pattern, self._types)
            self._definitions.append(
                StepDefinition(expression, run, check_table)
            )
            return run

        return register

    def calls(self, text: str) -> tuple[StepCall, ...]:
        """Return the steps that a text matches; one if all is well."""
        found: list[StepCall] = []
        for definition in self._definitions:
            arguments = definition.expression.match(text)
            if arguments is not None:
                given = tuple(argument.value for argument in arguments)
                found.append(StepCall(definition, given))
        return tuple(found)

    def patterns(self) -> tuple[str, ...]:
        """Return all patterns, for people."""
        return tuple(
            definition.expression.source for definition in self._definitions
        )


#: All steps; the modules ``steps_*`` register theirs when imported.
VOCABULARY = Vocabulary()
