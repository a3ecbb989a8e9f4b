"""Builds manifest records from documents that match the schema."""

from collections.abc import Iterable, Mapping
from typing import Any

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

Document = Mapping[str, Any]


def build_manifest(document: Document) -> Manifest:
    """Build a manifest; absent optional fields get the records' defaults.

    Parameters
    ----------
    document
        Document that matches the manifest's schema.

    """
    return Manifest(
        data_centres=tuple(map(_data_centre, document['data_centres'])),
        organisations=tuple(map(_organisation, document['organisations'])),
        deployments=tuple(map(_deployment, document.get('deployments', ()))),
        services=tuple(map(_service, document.get('services', ()))),
    )


def _data_centre(document: Document) -> DataCentre:
    return DataCentre(DataCentreName(document['name']), document['region'])


def _organisation(document: Document) -> Organisation:
    return Organisation(
        name=OrganisationName(document['name']),
        key_hashes=tuple(document['key_hashes']),
        weight=int(document.get('weight', Organisation.weight)),
        max_in_flight=int(
            document.get('max_in_flight', Organisation.max_in_flight)
        ),
    )


def _deployment(document: Document) -> Deployment:
    # JSON Schema accepts 4.0 as an integer, hence the conversions.
    return Deployment(
        name=DeploymentName(document['name']),
        model=ModelName(document['model']),
        model_version=document['model_version'],
        span=int(document['span']),
        replicas=int(document['replicas']),
        data_centres=tuple(map(DataCentreName, document['data_centres'])),
        adapters=tuple(document.get('adapters', ())),
        priority=int(document.get('priority', Deployment.priority)),
        checks_fence=document.get('checks_fence', Deployment.checks_fence),
        organisations=_organisations(document.get('organisations', ())),
    )


def _service(document: Document) -> Service:
    return Service(
        name=ServiceName(document['name']),
        calls=tuple(map(_service_call, document['calls'])),
        organisations=_organisations(document.get('organisations', ())),
    )


def _service_call(document: Document) -> ServiceCall:
    return ServiceCall(CallName(document['name']), document['idempotent'])


def _organisations(names: Iterable[str]) -> tuple[OrganisationName, ...]:
    return tuple(map(OrganisationName, names))
