"""Imports a part when a command needs it, so that others start fast."""

from importlib import import_module
from typing import Any

_PACKAGE = 'pomelogauge'


def lazy_import(module: str, name: str) -> Any:
    """Return a member of a module of the package.

    Parameters
    ----------
    module
        Name relative to the package, such as ``app.root``.
    name
        Name inside the module.

    """
    return getattr(import_module(f'{_PACKAGE}.{module}'), name)
