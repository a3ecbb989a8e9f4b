"""Identifiers of the starts of a process."""

import uuid

from ..model.ids import Incarnation


def draw_incarnation() -> Incarnation:
    """Return a random identifier for this start of the process."""
    return Incarnation(uuid.uuid4().hex)
