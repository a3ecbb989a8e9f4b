"""Settings of the lab's loads and experiments."""

from dataclasses import dataclass

from .setting_fields import Hint, setting
from .settings import period_hint

_MAX_RATE_PER_S = 100_000
_MAX_COUNT = 100_000


def _count(text: str) -> Hint:
    return Hint(text, 1, _MAX_COUNT)


@dataclass(frozen=True, kw_only=True)
class ExperimentSettings:
    """Settings that loads and experiments share."""

    rate: float = setting(
        Hint('Arrivals a second.', 0, _MAX_RATE_PER_S, exclusive=True), 30.0
    )
    duration: float = setting(period_hint('Time of arrivals'), 40.0)
    seed: int = setting(Hint('Seed of the random source.', 0), 1)
    json: str = setting(Hint('File that takes the measurement.'), '')


@dataclass(frozen=True, kw_only=True)
class LoadSettings(ExperimentSettings):
    """Settings of the command that sends a load."""

    tokens: int = setting(_count('Tokens of each answer.'), 32)
    organisations: int = setting(_count('Organisations that call.'), 10)
    routers: str = setting(
        Hint('host:port of routers, by commas; empty starts its own.'), ''
    )
