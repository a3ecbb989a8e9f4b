"""Settings of an entry instance outside the platform's settings file."""

from dataclasses import dataclass

from .log_level import LogLevel
from .setting_fields import Hint, setting

_MAX_PORT = 65535


@dataclass(frozen=True, kw_only=True)
class EntryOptions:
    """Settings of an entry instance from flags and environment variables.

    All others are read from the platform's settings file.
    """

    settings: str = setting(Hint("Path of the platform's settings file."))
    metrics_port: int = setting(
        Hint('Port of the metrics page.', 1, _MAX_PORT), 9464
    )
    log_level: LogLevel = setting(
        Hint('Least severe log records written: debug, info, warning, error.'),
        LogLevel.INFO,
    )
    shutdown_margin_s: float = setting(
        Hint(
            "Time before the platform's limit at which a shutdown ends, "
            'in seconds.',
            0,
            60,
        ),
        0.8,
    )
    answer_life_s: float = setting(
        Hint(
            'Time after the start of a shutdown in which new callers are '
            'served, in seconds.',
            0,
            60,
        ),
        4.0,
    )
