"""Checks a manifest for faults that its schema cannot express."""

from collections.abc import Hashable, Iterable, Iterator, Mapping
from typing import Protocol

from ..model.document import DocumentFault, DocumentPath
from ..model.ids import DataCentreName, OrganisationName
from ..model.manifest import Deployment, Manifest, Organisation, Service


class _Named(Protocol):
    """A record whose name has to be unique in its list."""

    @property
    def name(self) -> str:
        """Unique name of the record."""


def check_manifest(manifest: Manifest) -> Iterator[DocumentFault]:
    """Yield every fault of a manifest, with the path to its place.

    Parameters
    ----------
    manifest
        Manifest that its schema has accepted.

    """
    yield from _name_faults(manifest)
    yield from _organisation_faults(manifest.organisations)
    centres = {centre.name for centre in manifest.data_centres}
    organisations = {owner.name for owner in manifest.organisations}
    for index, deployment in enumerate(manifest.deployments):
        at = ('deployments', index)
        yield from _number_faults(at, deployment)
        yield from _data_centre_faults(at, deployment, centres)
        yield from _adapter_faults(at, deployment)
        yield from _caller_faults(at, deployment.organisations, organisations)
    for index, service in enumerate(manifest.services):
        at = ('services', index)
        yield from _call_faults(at, service)
        yield from _caller_faults(at, service.organisations, organisations)


def _name_faults(manifest: Manifest) -> Iterator[DocumentFault]:
    lists: Mapping[str, tuple[_Named, ...]] = {
        'data_centres': manifest.data_centres,
        'organisations': manifest.organisations,
        'deployments': manifest.deployments,
        'services': manifest.services,
    }
    for key, records in lists.items():
        names = [record.name for record in records]
        for index in _repeated(names):
            message = f'name {names[index]} is used more than once'
            yield DocumentFault((key, index, 'name'), message)


def _organisation_faults(
    organisations: Iterable[Organisation],
) -> Iterator[DocumentFault]:
    owners: dict[str, OrganisationName] = {}
    for index, owner in enumerate(organisations):
        at = ('organisations', index)
        if owner.weight < 1:
            message = f'weight {owner.weight} must be at least 1'
            yield DocumentFault((*at, 'weight'), message)
        if owner.max_in_flight < 0:
            message = f'max_in_flight {owner.max_in_flight} must be at least 0'
            yield DocumentFault((*at, 'max_in_flight'), message)
        yield from _key_faults(at, owner, owners)


def _key_faults(
    at: DocumentPath,
    owner: Organisation,
    owners: dict[str, OrganisationName],
) -> Iterator[DocumentFault]:
    """Yield keys that have an owner already, and add the others to owners."""
    for index, key_hash in enumerate(owner.key_hashes):
        if key_hash in owners:
            message = f'key already belongs to organisation {owners[key_hash]}'
            yield DocumentFault((*at, 'key_hashes', index), message)
        owners.setdefault(key_hash, owner.name)


def _number_faults(
    at: DocumentPath,
    deployment: Deployment,
) -> Iterator[DocumentFault]:
    if deployment.span < 1:
        message = f'span {deployment.span} must be at least 1'
        yield DocumentFault((*at, 'span'), message)
    if deployment.replicas < 0:
        message = f'replicas {deployment.replicas} must be at least 0'
        yield DocumentFault((*at, 'replicas'), message)


def _data_centre_faults(
    at: DocumentPath,
    deployment: Deployment,
    centres: set[DataCentreName],
) -> Iterator[DocumentFault]:
    here = (*at, 'data_centres')
    if deployment.replicas > 0 and not deployment.data_centres:
        yield DocumentFault(
            here, f'{deployment.replicas} replicas need a data centre'
        )
    yield from _reference_faults(
        here, 'data centre', deployment.data_centres, centres
    )


def _adapter_faults(
    at: DocumentPath,
    deployment: Deployment,
) -> Iterator[DocumentFault]:
    for index in _repeated(deployment.adapters):
        message = f'adapter {deployment.adapters[index]} is listed twice'
        yield DocumentFault((*at, 'adapters', index), message)


def _caller_faults(
    at: DocumentPath,
    callers: tuple[OrganisationName, ...],
    known: set[OrganisationName],
) -> Iterator[DocumentFault]:
    here = (*at, 'organisations')
    yield from _reference_faults(here, 'organisation', callers, known)


def _reference_faults(
    at: DocumentPath,
    kind: str,
    names: tuple[str, ...],
    known: Iterable[str],
) -> Iterator[DocumentFault]:
    known_names = frozenset(known)
    for index, name in enumerate(names):
        if name not in known_names:
            message = f'{kind} {name} is not declared in the manifest'
            yield DocumentFault((*at, index), message)
    for repeated in _repeated(names):
        message = f'{kind} {names[repeated]} is listed twice'
        yield DocumentFault((*at, repeated), message)


def _call_faults(
    at: DocumentPath,
    service: Service,
) -> Iterator[DocumentFault]:
    names = [call.name for call in service.calls]
    for index in _repeated(names):
        message = f'call {names[index]} is declared twice'
        yield DocumentFault((*at, 'calls', index, 'name'), message)


def _repeated(names: Iterable[Hashable]) -> Iterator[int]:
    """Yield the index of each name that occurs earlier in the list."""
    seen: set[Hashable] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield index
        seen.add(name)
