"""Decodes the operators' configuration document."""

from ..model.ids import (
    ConfigVersion,
    ModelName,
    OrganisationName,
    RouteName,
    ServiceName,
)
from ..model.serving import (
    CallerLimits,
    EngineSpec,
    ModelSpec,
    Organisation,
    Route,
    RouteKind,
    ServiceSpec,
    ServingConfig,
    Share,
)
from .fields import Fields, read_fields

_MS_IN_S = 1000
_ROUTE_KINDS = frozenset(kind.value for kind in RouteKind)
#: Priority of a route that sets none.
_DEFAULT_PRIORITY = 5
_DEFAULT_LIMITS = CallerLimits()


def decode_configuration(text: bytes) -> ServingConfig:
    """Decode the configuration document.

    Parameters
    ----------
    text
        Value of the row ``config`` in the operators' table, as JSON.

    Raises
    ------
    FindingsError
        The text is not JSON, or fields are missing or malformed; all
        findings together.

    """
    fields = read_fields('op/config', text)
    services = tuple(
        _service(service) for service in fields.objects('services')
    )
    config = ServingConfig(
        version=ConfigVersion(fields.integer('version')),
        routes=_by_host(
            tuple(_route(route) for route in fields.objects('routes'))
        ),
        services={service.name: service for service in services},
        keys=_keys(fields),
        has_organisations=fields.has('tenants'),
        limits=_limits(fields),
    )
    fields.check()
    return config


def _by_host(routes: tuple[Route, ...]) -> dict[str, tuple[Route, ...]]:
    by_host: dict[str, tuple[Route, ...]] = {}
    # Routing takes the first match, which has to be the longest prefix.
    longest_first = sorted(
        routes,
        key=lambda route: len(route.prefix),
        reverse=True,
    )
    for route in longest_first:
        by_host[route.host] = (*by_host.get(route.host, ()), route)
    return by_host


def _route(fields: Fields) -> Route:
    kind = fields.text('route_type')
    if kind not in _ROUTE_KINDS:
        fields.add_finding(
            'route_type',
            f'got {kind!r}, expected one of {sorted(_ROUTE_KINDS)}',
        )
        # Decoding goes on for further findings; ``check`` raises this one.
        kind = RouteKind.NON_IDEMPOTENT
    return Route(
        name=RouteName(fields.text('name')),
        host=fields.text('host').lower(),
        prefix=fields.text('prefix'),
        kind=RouteKind(kind),
        shares=_shares(fields),
        timeout_s=fields.number('timeout_ms') / _MS_IN_S,
        target_latency_s=fields.number('target_latency_ms', 0) / _MS_IN_S,
        max_targets=fields.integer('max_attempts', 1),
        priority=fields.integer('priority', _DEFAULT_PRIORITY),
        is_public=fields.flag('public'),
        may_resume=fields.flag('stream_resume'),
        gap_s=fields.number('gap_target_ms', 0) / _MS_IN_S,
    )


def _shares(fields: Fields) -> tuple[Share, ...]:
    # A route names either one service or a weighted split.
    if fields.has('traffic_split'):
        return tuple(
            Share(ServiceName(share.text('service')), share.number('weight'))
            for share in fields.objects('traffic_split')
        )
    return (Share(ServiceName(fields.text('service')), 1),)


def _service(fields: Fields) -> ServiceSpec:
    engine = _engine(fields.nested('engine')) if fields.has('engine') else None
    return ServiceSpec(
        name=ServiceName(fields.text('name')),
        max_connections=fields.integer('max_connections', 0),
        cold_requests_per_s=fields.number('cold_per_s', 0),
        engine=engine,
    )


def _engine(fields: Fields) -> EngineSpec:
    return EngineSpec(
        models=tuple(_model(model) for model in fields.objects('models')),
        slots=fields.integer('slots'),
        loads_per_s=fields.number('loads_per_s', 0),
        formation_s=fields.number('form_ms', 0) / _MS_IN_S,
    )


def _model(fields: Fields) -> ModelSpec:
    return ModelSpec(
        name=ModelName(fields.text('name')),
        size=fields.integer('size', 1),
        share=fields.number('share', 1),
        pace=fields.number('pace', 1),
        load_s=fields.number('load_s', 0),
        warm_up_s=fields.number('warmup_s', 0),
    )


def _keys(fields: Fields) -> dict[str, Organisation]:
    keys: dict[str, Organisation] = {}
    for tenant in fields.objects('tenants'):
        priority = (
            tenant.integer('priority') if tenant.has('priority') else None
        )
        organisation = Organisation(
            OrganisationName(tenant.text('name')), priority
        )
        for key in tenant.list_of('api_keys', str):
            keys[key] = organisation
    return keys


def _limits(fields: Fields) -> CallerLimits:
    if not fields.has('limits'):
        return _DEFAULT_LIMITS
    limits = fields.nested('limits')
    return CallerLimits(
        header_bytes=limits.integer(
            'max_header_bytes', _DEFAULT_LIMITS.header_bytes
        ),
        body_bytes=limits.integer('max_body_bytes', _DEFAULT_LIMITS.body_bytes),
        header_timeout_s=_ms_to_s(
            limits, 'header_timeout_ms', _DEFAULT_LIMITS.header_timeout_s
        ),
        idle_timeout_s=_ms_to_s(
            limits, 'idle_timeout_ms', _DEFAULT_LIMITS.idle_timeout_s
        ),
    )


def _ms_to_s(fields: Fields, name: str, default_s: float) -> float:
    return fields.number(name, default_s * _MS_IN_S) / _MS_IN_S
