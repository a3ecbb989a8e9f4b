"""Whether capacity elsewhere can take over from a data centre."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..model.ids import DataCentreName, DeploymentName
from ..model.manifest import Configuration, Deployment
from ..model.placement import ReplicaView


@dataclass(frozen=True)
class Readiness:
    """Replicas of one deployment outside the data centres that go out.

    Parameters
    ----------
    deployment
        The deployment.
    wanted
        Replicas that the manifest asks for.
    warm
        Replicas elsewhere that serve and bear their full load.

    """

    deployment: DeploymentName
    wanted: int
    warm: int

    @property
    def is_ready(self) -> bool:
        """Return whether the others can take the whole load."""
        return self.warm >= self.wanted

    def __str__(self) -> str:
        """Render as ``NAME: 1 of 2 replicas are warm elsewhere``."""
        counts = f'{self.warm} of {self.wanted} replicas'
        return f'{self.deployment}: {counts} are warm elsewhere'


def readiness(
    configuration: Configuration,
    views: Iterable[ReplicaView],
) -> tuple[Readiness, ...]:
    """Return the readiness of each deployment that may stand elsewhere.

    Parameters
    ----------
    configuration
        Configuration that names the data centres that go out.
    views
        What controllers say of their replicas.

    """
    gone = set(configuration.drained) | set(configuration.preparing)
    # A replica may be seen by two controllers while its shard moves.
    warm = {
        view.replica.replica: view.replica.deployment
        for view in views
        if _is_warm_elsewhere(view, gone)
    }
    return tuple(
        Readiness(
            deployment.name,
            deployment.replicas,
            list(warm.values()).count(deployment.name),
        )
        for deployment in configuration.manifest.deployments
        if _may_stand_elsewhere(deployment, gone)
    )


def _is_warm_elsewhere(view: ReplicaView, gone: set[DataCentreName]) -> bool:
    is_warm = view.serving and 0 < view.capacity <= view.current_capacity
    centres = {member.data_centre for member in view.replica.members}
    return is_warm and not centres & gone


def _may_stand_elsewhere(
    deployment: Deployment,
    gone: set[DataCentreName],
) -> bool:
    return bool(set(deployment.data_centres) - gone)
