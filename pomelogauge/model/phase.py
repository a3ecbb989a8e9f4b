"""Phases of a process."""

from enum import StrEnum


class NodePhase(StrEnum):
    """Phase of a process, as it reports it to its peers.

    ``STARTING``: it is not ready yet. ``READY``: it takes new work.
    ``CUT_OFF``: it could not confirm its configuration in time and takes no
    new work. ``LEAVING``: it shuts down.
    """

    STARTING = 'starting'
    READY = 'ready'
    CUT_OFF = 'cut_off'
    LEAVING = 'leaving'
