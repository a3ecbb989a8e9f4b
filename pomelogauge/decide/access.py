"""Checks which models and calls an organisation may use."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import sha256

from returns.result import Failure, Result, Success

from ..model.ids import ModelName, OrganisationName
from ..model.manifest import (
    Configuration,
    Deployment,
    Organisation,
    Service,
    ServiceCall,
)
from ..model.request import (
    ModelRequest,
    Refusal,
    RefusalCode,
    ServiceRequest,
)


@dataclass(frozen=True)
class Access:
    """A configuration with an index of the callers' keys.

    Parameters
    ----------
    configuration
        Configuration in force.
    by_hash
        Organisations by the SHA-256 of their keys, in lower-case hexadecimal.

    """

    configuration: Configuration = field(default_factory=Configuration)
    by_hash: Mapping[str, Organisation] = field(default_factory=dict)

    def organisation_of(self, key: str) -> Organisation | None:
        """Return the organisation that a key belongs to.

        ``None`` for an unknown key. The key is the plain text that the caller
        sent.
        """
        return self.by_hash.get(sha256(key.encode()).hexdigest())

    def models(self, organisation: OrganisationName) -> tuple[ModelName, ...]:
        """Return the model names that an organisation may request, sorted."""
        names: set[ModelName] = set()
        for deployment in self.configuration.manifest.deployments:
            if _is_allowed(deployment.organisations, organisation):
                names.update(served_names(deployment))
        return tuple(sorted(names))


def access_of(configuration: Configuration) -> Access:
    """Return a configuration with the index of its keys."""
    by_hash = {
        key_hash.lower(): organisation
        for organisation in configuration.manifest.organisations
        for key_hash in organisation.key_hashes
    }
    return Access(configuration, by_hash)


def served_names(deployment: Deployment) -> tuple[ModelName, ...]:
    """Return the model names under which callers request a deployment.

    The model itself, and ``model:adapter`` for each adapter.
    """
    adapted = [
        ModelName(f'{deployment.model}:{adapter}')
        for adapter in deployment.adapters
    ]
    return (deployment.model, *adapted)


def deployments_for(
    configuration: Configuration,
    req: ModelRequest,
) -> Result[tuple[Deployment, ...], Refusal]:
    """Return the deployments that may answer a request.

    The refusal tells apart a model that no deployment serves and one that the
    organisation may not use.
    """
    named = [
        deployment
        for deployment in configuration.manifest.deployments
        if req.model in served_names(deployment)
    ]
    allowed = tuple(
        deployment
        for deployment in named
        if _is_allowed(deployment.organisations, req.organisation)
    )
    if allowed:
        return Success(allowed)
    if named:
        return Failure(
            Refusal(
                RefusalCode.NOT_ALLOWED,
                f'organisation {req.organisation} may not use {req.model}',
                request=req.request,
            )
        )
    return Failure(
        Refusal(
            RefusalCode.UNKNOWN_MODEL,
            f'no deployment serves {req.model}',
            request=req.request,
        )
    )


def call_for(
    configuration: Configuration,
    req: ServiceRequest,
) -> Result[ServiceCall, Refusal]:
    """Return the declared call, or the refusal when it may not be made.

    A call that is not idempotent is refused without an idempotency key.
    """
    service = _service_named(configuration, req)
    if service is None:
        message = f'no service is named {req.service}'
        return _refuse_call(RefusalCode.UNKNOWN_SERVICE, message, req)
    if not _is_allowed(service.organisations, req.organisation):
        message = f'organisation {req.organisation} may not use {req.service}'
        return _refuse_call(RefusalCode.NOT_ALLOWED, message, req)
    for call in service.calls:
        if call.name == req.call:
            return _with_key(call, req)
    message = f'{req.service} has no call {req.call}'
    return _refuse_call(RefusalCode.UNKNOWN_CALL, message, req)


def _with_key(
    call: ServiceCall,
    req: ServiceRequest,
) -> Result[ServiceCall, Refusal]:
    if call.idempotent or req.idempotency_key:
        return Success(call)
    message = f'{req.call} may not be repeated and needs an Idempotency-Key'
    return _refuse_call(RefusalCode.KEY_MISSING, message, req)


def _service_named(
    configuration: Configuration,
    req: ServiceRequest,
) -> Service | None:
    for service in configuration.manifest.services:
        if service.name == req.service:
            return service
    return None


def _refuse_call(
    code: RefusalCode,
    message: str,
    req: ServiceRequest,
) -> Result[ServiceCall, Refusal]:
    return Failure(Refusal(code, message, request=req.request))


def _is_allowed(
    allowed: tuple[OrganisationName, ...],
    organisation: OrganisationName,
) -> bool:
    return not allowed or organisation in allowed
