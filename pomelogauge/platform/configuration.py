"""Decodes the operators' configuration."""

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
_KINDS = frozenset(kind.value for kind in RouteKind)
#: Rank of a route that states none.
_USUAL_PRIORITY = 5
_LIMITS = CallerLimits()


def decode_configuration(text: bytes) -> ServingConfig:
    """Decode the row of the configuration.

    Raises
    ------
    FindingsError
        The document has faults; all findings together.

    """
    fields = read_fields('op/config', text)
    services = tuple(_service(one) for one in fields.objects('services'))
    config = ServingConfig(
        version=ConfigVersion(fields.integer('version')),
        routes=_by_host(tuple(_route(one) for one in fields.objects('routes'))),
        services={service.name: service for service in services},
        keys=_keys(fields),
        has_organisations=fields.has('tenants'),
        limits=_limits(fields),
    )
    fields.check()
    return config


def _by_host(routes: tuple[Route, ...]) -> dict[str, tuple[Route, ...]]:
    by_host: dict[str, tuple[Route, ...]] = {}
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
    if kind not in _KINDS:
        fields.add_finding('route_type', f'{kind!r} is no kind of route')
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
        priority=fields.integer('priority', _USUAL_PRIORITY),
        is_public=fields.flag('public'),
        may_resume=fields.flag('stream_resume'),
    )


def _shares(fields: Fields) -> tuple[Share, ...]:
    # A route has one service or a split.
    if fields.has('traffic_split'):
        return tuple(
            Share(ServiceName(one.text('service')), one.number('weight'))
            for one in fields.objects('traffic_split')
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
        models=tuple(_model(one) for one in fields.objects('models')),
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
    for one in fields.objects('tenants'):
        priority = one.integer('priority') if one.has('priority') else None
        holder = Organisation(OrganisationName(one.text('name')), priority)
        for key in one.list_of('api_keys', str):
            keys[key] = holder
    return keys


def _limits(fields: Fields) -> CallerLimits:
    if not fields.has('limits'):
        return _LIMITS
    nested = fields.nested('limits')
    return CallerLimits(
        header_bytes=nested.integer('max_header_bytes', _LIMITS.header_bytes),
        body_bytes=nested.integer('max_body_bytes', _LIMITS.body_bytes),
        header_timeout_s=_seconds(
            nested, 'header_timeout_ms', _LIMITS.header_timeout_s
        ),
        idle_timeout_s=_seconds(
            nested, 'idle_timeout_ms', _LIMITS.idle_timeout_s
        ),
    )


def _seconds(fields: Fields, name: str, default_s: float) -> float:
    return fields.number(name, default_s * _MS_IN_S) / _MS_IN_S
