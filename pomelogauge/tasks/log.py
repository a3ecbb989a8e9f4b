"""Loggers that prefix each message with the part of the system it is from."""

import logging
from collections.abc import MutableMapping
from typing import Any, TypeAlias

from ..model.log_parts import Part

#: Name of the logger whose children are the loggers of the parts.
ROOT_LOGGER = 'pomelogauge'

#: Attribute of a log record that names its part.
PART_FIELD = 'part'

# The class takes a parameter in type checkers only.
Adapter: TypeAlias = 'logging.LoggerAdapter[logging.Logger]'


class PartLogger(logging.LoggerAdapter):  # type: ignore[type-arg]
    """Logs messages of one part of the system, each with its prefix."""

    def __init__(self, part: Part) -> None:
        """Wrap the logger of the part."""
        super().__init__(logging.getLogger(f'{ROOT_LOGGER}.{part.name}'))
        self._part = part

    def process(
        self,
        msg: Any,
        kwargs: MutableMapping[str, Any],
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Add the prefix to a message and the part to its fields."""
        fields = {**(kwargs.get('extra') or {}), PART_FIELD: self._part.value}
        return f'{self._part}: {msg}', {**kwargs, 'extra': fields}


def part_logger(part: Part) -> Adapter:
    """Return the logger of a part.

    Parameters
    ----------
    part
        Part whose value is the prefix of each message. Fields of a message,
        such as ``request``, are passed in the argument ``extra`` of the call.

    """
    return PartLogger(part)
