"""Tells whether other data centres can take over before a drain."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..model.ids import DataCentreName, DeploymentName
from ..model.manifest import Configuration, Deployment
from ..model.placement import ReplicaView


@dataclass(frozen=True)
class Readiness:
    """Replicas of one deployment outside the data centres to be drained.

    Parameters
    ----------
    wanted
        Number of replicas in the manifest.
    warm
        Number of replicas elsewhere that serve and can take their full
        capacity.

    """

    deployment: DeploymentName
    wanted: int
    warm: int

    @property
    def is_ready(self) -> bool:
        """Whether the replicas elsewhere can take the whole load."""
        return self.warm >= self.wanted

    def __str__(self) -> str:
        """Render as ``NAME: 1 of 2 replicas are warm elsewhere``."""
        counts = f'{self.warm} of {self.wanted} replicas'
        return f'{self.deployment}: {counts} are warm elsewhere'


def readiness(
    configuration: Configuration,
    views: Iterable[ReplicaView],
) -> tuple[Readiness, ...]:
    """Return the readiness of each deployment that may run elsewhere.

    A deployment that is limited to the data centres to be drained is left
    out: nothing can take over from it.

    Parameters
    ----------
    configuration
        Manifest, and the data centres that are drained or being prepared for
        a drain.
    views
        Replicas as reported by all controllers.

    """
    going_out = set(configuration.drained) | set(configuration.preparing)
    # A replica may be reported by two controllers while its shard moves.
    warm = {
        view.replica.replica: view.replica.deployment
        for view in views
        if _is_warm_elsewhere(view, going_out)
    }
    return tuple(
        Readiness(
            deployment.name,
            deployment.replicas,
            list(warm.values()).count(deployment.name),
        )
        for deployment in configuration.manifest.deployments
        if _may_run_elsewhere(deployment, going_out)
    )


def _is_warm_elsewhere(
    view: ReplicaView, going_out: set[DataCentreName]
) -> bool:
    is_warm = view.serving and 0 < view.capacity <= view.current_capacity
    centres = {member.data_centre for member in view.replica.members}
    return is_warm and not centres & going_out


def _may_run_elsewhere(
    deployment: Deployment,
    going_out: set[DataCentreName],
) -> bool:
    return bool(set(deployment.data_centres) - going_out)
