"""Decisions of the operators' commands that publish configurations."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..model.ids import ConfigVersion, DataCentreName, NodeName
from ..model.manifest import Configuration, Manifest
from ..model.peers import NodePhase, NodeReport
from .data_centre_chart import (
    DataCentreChart,
    DataCentreEvent,
    DataCentreFacts,
    DataCentreState,
)


@dataclass(frozen=True)
class DataCentreChange:
    """What an operator wants of one data centre.

    Parameters
    ----------
    data_centre
        The data centre.
    event
        Event of the data centre chart.

    """

    data_centre: DataCentreName
    event: DataCentreEvent


def state_of(
    data_centre: DataCentreName,
    configuration: Configuration,
) -> DataCentreState:
    """Return what a configuration says of a data centre."""
    if data_centre in configuration.drained:
        return DataCentreState.DRAINED
    if data_centre in configuration.preparing:
        return DataCentreState.PREPARING
    return DataCentreState.IN_SERVICE


def is_known(change: DataCentreChange, configuration: Configuration) -> bool:
    """Return whether a configuration names the data centre."""
    centres = {centre.name for centre in configuration.manifest.data_centres}
    return change.data_centre in centres.union(
        configuration.drained, configuration.preparing
    )


def apply_change(
    change: DataCentreChange,
    configuration: Configuration,
    chart: DataCentreChart,
    publisher: str,
) -> Configuration:
    """Return the configuration to publish next; the same for no change."""
    name = change.data_centre
    before = state_of(name, configuration)
    after = chart.step(before, change.event, DataCentreFacts()).state
    if after is before:
        return configuration
    return replace(
        configuration,
        drained=_with(
            configuration.drained, name, after is DataCentreState.DRAINED
        ),
        preparing=_with(
            configuration.preparing, name, after is DataCentreState.PREPARING
        ),
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


def _with(
    names: tuple[DataCentreName, ...],
    name: DataCentreName,
    wanted: bool,
) -> tuple[DataCentreName, ...]:
    others = set(names) - {name}
    return tuple(sorted(others | {name} if wanted else others))
