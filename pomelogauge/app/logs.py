"""Set-up of the logs: one JSON object a line on standard error."""

import logging
import sys
import time
from typing import IO

from pythonjsonlogger.json import JsonFormatter

from ..model.ids import NodeName
from ..model.log_parts import Part
from ..tasks.log import PART_FIELD, ROOT_LOGGER
from .log_level import LogLevel
from .log_writer import LogWriter

_FIELDS = ('asctime', 'levelname', 'message')
_NAMES = {'asctime': 'time', 'levelname': 'level'}
_TIME_FORMAT = '%Y-%m-%dT%H:%M:%S'
_MSEC_FORMAT = '%s.%03dZ'


def set_up_logs(
    node: NodeName,
    level: LogLevel,
    stream: IO[str] | None = None,
) -> None:
    """Write log records as JSON from now on.

    Parameters
    ----------
    node
        Name of the process in every line.
    level
        Least severe records that are written.
    stream
        Where to write; ``None`` for standard error.

    """
    writer = logging.StreamHandler(stream or sys.stderr)
    writer.setFormatter(json_formatter(node))
    root = logging.getLogger()
    root.handlers = [writer]
    # Libraries log every connection at the debug level.
    root.setLevel(logging.WARNING)
    logging.getLogger(ROOT_LOGGER).setLevel(level.upper())


def set_up_entry_logs(node: NodeName, level: LogLevel) -> LogWriter:
    """Write log records to standard output without blocking tasks.

    Parameters
    ----------
    node
        Name of the process in every line.
    level
        Least severe records that are written.

    """
    writer = LogWriter(json_formatter(node))
    root = logging.getLogger()
    root.handlers = [writer]
    root.setLevel(logging.WARNING)
    logging.getLogger(ROOT_LOGGER).setLevel(level.upper())
    return writer


def json_formatter(node: NodeName) -> logging.Formatter:
    """Return a formatter that writes one JSON object."""
    formatter = JsonFormatter(
        list(_FIELDS),
        rename_fields=_NAMES,
        static_fields={'node': node},
        # Records of libraries lack the field.
        defaults={PART_FIELD: Part.TASK.value},
    )
    formatter.converter = time.gmtime
    formatter.default_time_format = _TIME_FORMAT
    formatter.default_msec_format = _MSEC_FORMAT
    return formatter
