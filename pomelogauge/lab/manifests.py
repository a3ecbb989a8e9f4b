"""Manifests for the installations that tools start."""

import hashlib
import json
from dataclasses import asdict

from ..model.ids import (
    CallName,
    DataCentreName,
    DeploymentName,
    ModelName,
    OrganisationName,
    ServiceName,
)
from ..model.manifest import (
    DataCentre,
    Deployment,
    Manifest,
    Organisation,
    Service,
    ServiceCall,
)
from .cluster import ClusterSpec

#: Region that all data centres of a tool stand in.
REGION = 'loopback'
#: Name of the model that callers of a tool ask for.
MODEL = ModelName('quotes')
#: Calls of the plain service, and whether each may be repeated.
CALLS = (
    ServiceCall(CallName('book'), idempotent=False),
    ServiceCall(CallName('pay'), idempotent=False),
    ServiceCall(CallName('status'), idempotent=True),
)


def caller_key(organisation: str) -> str:
    """Return the key of an organisation's callers in a tool's manifest."""
    return f'key-of-{organisation}'


def organisation_names(count: int) -> tuple[str, ...]:
    """Return names of organisations."""
    return tuple(f'organisation-{number}' for number in range(count))


def manifest_for(
    spec: ClusterSpec,
    replicas: int = 1,
    span: int = 4,
    organisations: int = 2,
    *,
    checks_fence: bool = True,
) -> Manifest:
    """Return a manifest with one deployment over all data centres.

    Parameters
    ----------
    spec
        Installation that it is for.
    replicas, span
        Of the deployment.
    organisations
        How many; the first has a weight of four.
    checks_fence
        The engines refuse orders with an old fencing number.

    """
    data_centres = tuple(map(DataCentreName, spec.data_centres))
    return Manifest(
        data_centres=tuple(DataCentre(name, REGION) for name in data_centres),
        organisations=tuple(
            _organisation(name) for name in organisation_names(organisations)
        ),
        deployments=(
            Deployment(
                DeploymentName('quotes'),
                MODEL,
                'v1',
                span,
                replicas,
                data_centres,
                checks_fence=checks_fence,
            ),
        ),
        services=(Service(ServiceName(spec.service), CALLS),),
    )


def manifest_text(manifest: Manifest) -> str:
    """Return a manifest as the document that operators publish."""
    return json.dumps(asdict(manifest), indent=1)


def _organisation(name: str) -> Organisation:
    key = caller_key(name).encode()
    return Organisation(
        OrganisationName(name),
        (hashlib.sha256(key).hexdigest(),),
        weight=4 if name.endswith('-0') else 1,
    )
