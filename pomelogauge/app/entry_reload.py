"""Checks the settings file again while an entry instance runs."""

from dataclasses import fields

from ..model.errors import FindingsError
from ..model.log_parts import Part
from ..platform.settings import EntrySettings, read_settings
from ..tasks.log import part_logger

_log = part_logger(Part.ENTRY)


def check_settings(path: str, present: EntrySettings) -> None:
    """Log which settings differ from those read at start.

    Nothing is applied: changes take effect at the next start.
    """
    try:
        cfg = read_settings(path)
    except FindingsError as exc:
        _log.error('reload: settings file rejected: %s', exc)
        return
    changed = [
        field.name
        for field in fields(cfg)
        if getattr(cfg, field.name) != getattr(present, field.name)
    ]
    _log.info(
        'reload: settings file is valid, changes take effect at the next start',
        extra={'changed': changed},
    )
