"""Computes the configurations that operators' commands publish."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..model.ids import ConfigVersion, DataCentreName, NodeName
from ..model.manifest import Configuration, Manifest
from ..model.peers import NodeReport
from ..model.phase import NodePhase
from .data_centre_chart import (
    DataCentreChart,
    DataCentreEvent,
    DataCentreFacts,
    DataCentreState,
)


@dataclass(frozen=True)
class DataCentreChange:
    """An operator's command about one data centre.

    Parameters
    ----------
    data_centre
        Name of the data centre.
    event
        Command as an event of the data centre chart.

    """

    data_centre: DataCentreName
    event: DataCentreEvent


def state_of(
    data_centre: DataCentreName,
    configuration: Configuration,
) -> DataCentreState:
    """Return the service state of a data centre in a configuration."""
    if data_centre in configuration.drained:
        return DataCentreState.DRAINED
    if data_centre in configuration.preparing:
        return DataCentreState.PREPARING
    return DataCentreState.IN_SERVICE


def is_known(change: DataCentreChange, configuration: Configuration) -> bool:
    """Return whether a configuration has the data centre of a command.

    A drained one counts even if the manifest no longer declares it.
    """
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
    """Return the configuration to publish after a command.

    Parameters
    ----------
    change
        Command of the operator.
    configuration
        Newest configuration.
    chart
        Bound data centre chart.
    publisher
        Name that is recorded as the publisher.

    Returns
    -------
    Configuration
        The same object if the command changes nothing.

    """
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
    """Return the configuration to publish with a new manifest.

    Drained data centres stay drained, even those that the manifest no longer
    declares, so that publishing a manifest never puts one back into service.
    """
    return replace(configuration, manifest=manifest, publisher=publisher)


def lagging(
    reports: Iterable[NodeReport],
    version: ConfigVersion,
) -> tuple[NodeName, ...]:
    """Return the live processes that report only lower versions, sorted.

    Parameters
    ----------
    reports
        Reports of all live processes; the highest version counts if there are
        several of one process.
    version
        Version that should be in force everywhere.

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
