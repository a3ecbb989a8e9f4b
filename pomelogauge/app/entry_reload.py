"""Checks settings that have changed while an entry instance runs."""

from dataclasses import fields

from ..model.errors import FindingsError
from ..model.log_parts import Part
from ..platform.settings import EntrySettings, read_settings
from ..tasks.log import part_logger

_log = part_logger(Part.ENTRY)


def check_settings(path: str, present: EntrySettings) -> None:
    """Say what has changed; what runs keeps the settings of its start."""
    try:
        cfg = read_settings(path)
    except FindingsError as exc:
        _log.error('reload: settings are not used: %s', exc)
        return
    changed = [
        field.name
        for field in fields(cfg)
        if getattr(cfg, field.name) != getattr(present, field.name)
    ]
    _log.info(
        'reload: settings are read, changes count from the next start',
        extra={'changed': changed},
    )
