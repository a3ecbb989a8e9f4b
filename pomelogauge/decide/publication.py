"""Decisions of the operators' commands that publish configurations."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..model.ids import ConfigVersion, DataCentreName, NodeName
from ..model.manifest import Configuration, Manifest
from ..model.peers import NodePhase, NodeReport


@dataclass(frozen=True)
class DrainChange:
    """What an operator wants of one data centre.

    Parameters
    ----------
    data_centre
        The data centre.
    drained
        Whether it shall receive no new work.

    """

    data_centre: DataCentreName
    drained: bool


def is_done(change: DrainChange, configuration: Configuration) -> bool:
    """Return whether a configuration has what the change wants."""
    drained = change.data_centre in configuration.drained
    return drained == change.drained


def is_known(change: DrainChange, configuration: Configuration) -> bool:
    """Return whether a configuration names the data centre."""
    centres = {centre.name for centre in configuration.manifest.data_centres}
    return change.data_centre in centres.union(configuration.drained)


def apply_change(
    change: DrainChange,
    configuration: Configuration,
    publisher: str,
) -> Configuration:
    """Return the configuration to publish next."""
    drained = set(configuration.drained) - {change.data_centre}
    if change.drained:
        drained.add(change.data_centre)
    return replace(
        configuration,
        drained=tuple(sorted(drained)),
        publisher=publisher,
    )


def apply_manifest(
    manifest: Manifest,
    configuration: Configuration,
    publisher: str,
) -> Configuration:
    """Return the configuration to publish next.

    Data centres that are drained stay so, even those that the manifest no
    longer names, so that no publication puts one back into service.
    """
    return replace(configuration, manifest=manifest, publisher=publisher)


def lagging(
    reports: Iterable[NodeReport],
    version: ConfigVersion,
) -> tuple[NodeName, ...]:
    """Return the live processes that don't report a version or a later one.

    Parameters
    ----------
    reports
        Reports of all live processes, several of one process allowed.
    version
        Version that shall be in force.

    """
    newest: dict[NodeName, ConfigVersion] = {}
    for report in reports:
        if report.phase is not NodePhase.LEAVING:
            known = newest.get(report.node, report.version)
            newest[report.node] = max(known, report.version)
    late = [node for node, known in newest.items() if known < version]
    return tuple(sorted(late))
