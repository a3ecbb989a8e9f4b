"""Steps of callers: streams, calls and what became of them."""

from returns.pipeline import is_successful

from ..model.topology import InstanceRole
from .callers import ServiceTry
from .chat_states import ChatState
from .manifests import organisation_names
from .record import CallAnswered, CallSent, Failed
from .steps import VOCABULARY, StepError
from .targets import find
from .waiting import stays, wait_until
from .world import World


@VOCABULARY.step('{int} caller(s) stream(s) {int} tokens')
def stream(world: World, callers: int, tokens: int) -> None:
    """Start streams through all routers."""
    for _ in range(callers):
        routers = world.routers()
        seeds = tuple(world.rng.sample(routers, len(routers)))
        world.callers.start_chat(seeds, world.chat(tokens))


@VOCABULARY.step('every open stream has {int} token(s) within {float} s')
def streams_have(world: World, tokens: int, limit_s: float) -> None:
    """Wait until the callers of all open streams have read so much."""
    wait_until(lambda: _short(world, tokens), limit_s)


@VOCABULARY.step('every stream has ended whole within {float} s')
def streams_whole(world: World, limit_s: float) -> None:
    """Wait until all streams have ended; none may have failed."""
    wait_until(lambda: _open(world), limit_s)
    failed = [
        f'{state.failed.caller}: {state.failed.code} '
        f'({state.failed.execution}) {state.failed.message}'
        for state in world.chats()
        if state.failed
    ]
    if failed:
        raise StepError(f'{len(failed)} failed: {"; ".join(failed[:3])}')


@VOCABULARY.step('every stream has ended within {float} s')
def streams_ended(world: World, limit_s: float) -> None:
    """Wait until all streams have ended, whole or refused."""
    wait_until(lambda: _open(world), limit_s)


@VOCABULARY.step('a caller is answered within {float} s')
def answered(world: World, limit_s: float) -> None:
    """Ask for a short answer until one comes."""
    wait_until(lambda: _refused(world), limit_s)


@VOCABULARY.step('callers stay served for {float} s')
def stay_served(world: World, for_s: float) -> None:
    """See that every short answer comes."""
    stays(lambda: _refused(world), for_s)


@VOCABULARY.step('{word} is called with key {word} through {target}')
def call(world: World, call: str, key: str, target: str) -> None:
    """Call the plain service through one router and wait for the outcome."""
    world.callers.call(world.routers(), _try(world, call, key, target))


@VOCABULARY.step('{word} is being called with key {word} through {target}')
def start_call(world: World, call: str, key: str, target: str) -> None:
    """Call the plain service through one router without waiting."""
    world.callers.start_call(world.routers(), _try(world, call, key, target))


@VOCABULARY.step('the last call is answered')
def last_answered(world: World) -> None:
    """See that the last call got the service's answer."""
    outcome = _last_outcome(world)
    if isinstance(outcome, Failed):
        raise StepError(f'{outcome.code} ({outcome.execution})')


@VOCABULARY.step('the last call is refused as {word}')
def last_refused(world: World, execution: str) -> None:
    """See what the refusal says: ``not_run``, ``may_have_run`` or ``ran``."""
    outcome = _last_outcome(world)
    if isinstance(outcome, CallAnswered):
        raise StepError(f'it was answered: {outcome.body}')
    if outcome.execution != execution:
        raise StepError(f'{outcome.code} ({outcome.execution})')


@VOCABULARY.step('key {word} ran {int} time(s) within {float} s')
def ran(world: World, key: str, count: int, limit_s: float) -> None:
    """Wait until the services' records say how often a call ran."""
    wait_until(lambda: _other_count(world, key, count), limit_s)


@VOCABULARY.step('key {word} stays at {int} run(s) for {float} s')
def stays_ran(world: World, key: str, count: int, for_s: float) -> None:
    """See that a call runs no more often."""
    stays(lambda: _other_count(world, key, count), for_s)


def _short(world: World, tokens: int) -> str:
    states = world.chats()
    short = [state for state in states if state.open and state.tokens < tokens]
    broken = [state for state in states if state.failed]
    if broken:
        raise StepError(f'{_named(broken[0])}')
    return f'{len(short)} streams are shorter' if short else ''


def _named(state: ChatState) -> str:
    assert state.failed
    return f'{state.sent.caller}: {state.failed.code} {state.failed.message}'


def _open(world: World) -> str:
    left = [state.sent.caller for state in world.chats() if state.open]
    return f'{len(left)} streams are open' if left else ''


def _refused(world: World) -> str:
    outcome = world.callers.chat(world.routers(), world.chat(2))
    if is_successful(outcome):
        return ''
    return f'{outcome.failure().code}: {outcome.failure().message}'


def _try(world: World, call: str, key: str, target: str) -> ServiceTry:
    router = find(world, target).ready.address
    return ServiceTry(
        f'call-{world.number()}',
        organisation_names(1)[0],
        world.cluster.spec.service,
        call,
        key,
        router,
    )


def _last_outcome(world: World) -> CallAnswered | Failed:
    """Return what became of the call sent last."""
    caller = world.recorder.of(CallSent)[-1].caller
    for event in world.recorder.events():
        if isinstance(event, CallAnswered | Failed) and event.caller == caller:
            return event
    raise StepError(f'{caller} has not ended')


def _other_count(world: World, key: str, count: int) -> str:
    found = sum(
        run['count']
        for address in world.cluster.addresses(InstanceRole.SERVICE)
        for run in world.cluster.control.record(address)['runs']
        if run['key'].endswith(key)
    )
    return '' if found == count else f'{key} ran {found} times'
