"""Loggers that put the prefix of their part on every message."""

import logging
from collections.abc import MutableMapping
from typing import Any, TypeAlias

from ..model.log_parts import Part

#: Parent of the loggers of all parts.
ROOT_LOGGER = 'pomelogauge'

#: Attribute of a log record that names its part.
PART_FIELD = 'part'

# The class takes a parameter in type checkers only.
Adapter: TypeAlias = 'logging.LoggerAdapter[logging.Logger]'


class PartLogger(logging.LoggerAdapter):  # type: ignore[type-arg]
    """Writes messages of one part, each with its prefix."""

    def __init__(self, part: Part) -> None:
        """Take the part's logger."""
        super().__init__(logging.getLogger(f'{ROOT_LOGGER}.{part.name}'))
        self._part = part

    def process(
        self,
        msg: Any,
        kwargs: MutableMapping[str, Any],
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Put the prefix before a message and the part into its fields."""
        fields = {**(kwargs.get('extra') or {}), PART_FIELD: self._part.value}
        return f'{self._part}: {msg}', {**kwargs, 'extra': fields}


def part_logger(part: Part) -> Adapter:
    """Return the logger of a part.

    Parameters
    ----------
    part
        Its value is the prefix of every message. Fields of the message, such
        as ``request``, are given by the argument ``extra`` of each call.

    """
    return PartLogger(part)
