"""What an experiment measured, as JSON that the report reads."""

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from ..model.errors import UserError
from ..wire.rows import DECODE_ERRORS
from .load import Sent

_MALFORMED = (OSError, *DECODE_ERRORS)


@dataclass(frozen=True)
class RequestResult:
    """One request of a load.

    Parameters
    ----------
    at_s
        Planned arrival, in seconds after the start of the load.
    organisation
        Whose request it was.
    ended_s
        Time of its end.
    code
        Empty for a whole answer, else the code of the error.
    first_token_s
        Seconds from the planned arrival to the first token.
    gaps_s
        Seconds between neighbouring tokens.

    """

    at_s: float
    organisation: str
    ended_s: float
    code: str = ''
    first_token_s: float = 0
    gaps_s: tuple[float, ...] = ()


@dataclass(frozen=True)
class Mark:
    """Something that the tool did at a time."""

    at_s: float
    what: str


@dataclass(frozen=True)
class NodeVersion:
    """Version that a router or controller has in force."""

    node: str
    version: int


@dataclass(frozen=True)
class Sample:
    """State of the installation at a time.

    Parameters
    ----------
    at_s
        Seconds after the start of the load.
    replicas
        Complete replicas by the engines' own reports.
    stranded
        Accelerators of running engines that are in no complete replica.
    versions
        Of the routers and controllers that answered.

    """

    at_s: float
    replicas: int
    stranded: int
    versions: tuple[NodeVersion, ...]


@dataclass(frozen=True)
class Measurement:
    """One experiment.

    Parameters
    ----------
    title
        Heading in the report.
    command
        Command that made the data.
    seed
        Of the load.
    wanted
        Replicas that the manifest asks for; zero when unknown.
    requests
        All requests, by their arrivals.
    marks
        What the tool did.
    samples
        State now and then.

    """

    title: str
    command: str
    seed: int
    wanted: int
    requests: tuple[RequestResult, ...]
    marks: tuple[Mark, ...] = ()
    samples: tuple[Sample, ...] = ()


def request_results(sent: Iterable[Sent]) -> tuple[RequestResult, ...]:
    """Return the results of a load, by their arrivals."""
    found = (_result(request) for request in sent)
    return tuple(sorted(found, key=lambda request: request.at_s))


def write_measurement(path: Path, measured: Measurement) -> None:
    """Write a measurement as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(asdict(measured)), encoding='utf-8')


def read_measurement(path: Path) -> Measurement:
    """Read a measurement.

    Raises
    ------
    UserError
        The file is no measurement.

    """
    try:
        return _measurement(json.loads(path.read_text(encoding='utf-8')))
    except _MALFORMED as exc:
        raise UserError(f'{path}: no measurement: {exc}') from exc


def _result(sent: Sent) -> RequestResult:
    arrival = sent.arrival
    if not sent.served:
        code = sent.answer.failure().code
        return RequestResult(
            arrival.at_s, arrival.organisation, sent.ended_s, code
        )
    return RequestResult(
        arrival.at_s,
        arrival.organisation,
        sent.ended_s,
        first_token_s=sent.first_token_s,
        gaps_s=sent.gaps_s,
    )


def _measurement(document: dict[str, Any]) -> Measurement:
    document['requests'] = tuple(
        RequestResult(**{**found, 'gaps_s': tuple(found['gaps_s'])})
        for found in document['requests']
    )
    document['marks'] = tuple(Mark(**found) for found in document['marks'])
    document['samples'] = tuple(_sample(found) for found in document['samples'])
    return Measurement(**document)


def _sample(document: dict[str, Any]) -> Sample:
    versions = tuple(NodeVersion(**found) for found in document.pop('versions'))
    return Sample(**document, versions=versions)
