"""Levels of log records."""

from enum import StrEnum


class LogLevel(StrEnum):
    """Least severe log records that are written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'
