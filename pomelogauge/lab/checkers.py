"""Checkers of the promises that every scenario's record must keep."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from itertools import pairwise

from ..standins.tokens import messages_digest, token_of
from .record import (
    Breach,
    CallSent,
    ChatAnswered,
    ChatSent,
    Checker,
    DataCentreOf,
    EngineCounted,
    EngineStreamed,
    Event,
    Failed,
    FaultMade,
    MemberRowSeen,
    ReplicaRowSeen,
    ServiceRan,
    VersionPublished,
    VersionSeen,
    events_of,
)

#: Seconds after which nothing new may reach a drained data centre or a
#: leaving instance.
NO_NEW_WORK_S = 3.0
#: Seconds within which an accepted version must be in force.
IN_FORCE_S = 5.0
_NOT_RUN = 'not_run'


class WholeAnswerChecker:
    """Every answer is the whole answer to the caller's own request."""

    name = 'whole-answer'

    def check(self, events: Sequence[Event]) -> Iterator[Breach]:
        """Compare the answers with what the stand-in engines say."""
        sent = {event.caller: event for event in events_of(ChatSent, events)}
        for answer in events_of(ChatAnswered, events):
            asked = sent[answer.caller]
            if answer.text != _expected(asked):
                yield Breach(
                    self.name,
                    answer.at_s,
                    f'{answer.caller} got another answer than its own',
                )


class TrueRefusalChecker:
    """A refusal that says that a request was not run is true."""

    name = 'true-refusal'

    def check(self, events: Sequence[Event]) -> Iterator[Breach]:
        """Look for runs of requests and calls that were refused as not run."""
        ran = {event.request for event in events_of(EngineStreamed, events)}
        ran |= {event.request for event in events_of(ServiceRan, events)}
        for failed in events_of(Failed, events):
            if failed.execution == _NOT_RUN and failed.request in ran:
                yield Breach(
                    self.name,
                    failed.at_s,
                    f'{failed.caller} was told not_run, but it ran',
                )


class AtMostOnceChecker:
    """A call that may not be repeated runs at most once."""

    name = 'at-most-once'

    def check(self, events: Sequence[Event]) -> Iterator[Breach]:
        """Count the runs of each key over all instances of the services."""
        once = {
            (event.call, event.key)
            for event in events_of(CallSent, events)
            if not event.idempotent
        }
        counts: dict[tuple[str, str], int] = defaultdict(int)
        for ran in events_of(ServiceRan, events):
            counts[ran.call, ran.key] += ran.count
            if (ran.call, ran.key) in once and counts[ran.call, ran.key] > 1:
                message = f'{ran.call} with key {ran.key} ran again'
                yield Breach(self.name, ran.at_s, message)


class ColdTargetChecker:
    """No engine receives more than it bears."""

    name = 'cold-target'

    def check(self, events: Sequence[Event]) -> Iterator[Breach]:
        """Look at the engines' own counts."""
        for counted in events_of(EngineCounted, events):
            if counted.overfed:
                message = f'{counted.instance} got {counted.overfed} too many'
                yield Breach(self.name, counted.at_s, message)


class OneGroupChecker:
    """No instance stands in two replicas of one reading of the table."""

    name = 'one-group'

    def check(self, events: Sequence[Event]) -> Iterator[Breach]:
        """Compare the slots of one scan with each other."""
        scans: dict[float, list[ReplicaRowSeen]] = defaultdict(list)
        for row in events_of(ReplicaRowSeen, events):
            scans[row.asked_at_s].append(row)
        for rows in scans.values():
            yield from self._shared(rows)
        yield from self._falling(events)

    def _shared(self, rows: Sequence[ReplicaRowSeen]) -> Iterator[Breach]:
        owners: dict[str, str] = {}
        for row in rows:
            for member in row.members:
                owner = owners.setdefault(member, row.replica)
                if owner != row.replica:
                    message = f'{member} is in {owner} and in {row.replica}'
                    yield Breach(self.name, row.at_s, message)

    def _falling(self, events: Sequence[Event]) -> Iterator[Breach]:
        highest: dict[str, int] = {}
        for row in events_of(MemberRowSeen, events):
            known = highest.setdefault(row.instance, row.epoch)
            if row.epoch < known:
                message = f'the epoch of {row.instance} fell to {row.epoch}'
                yield Breach(self.name, row.at_s, message)
            highest[row.instance] = max(known, row.epoch)


class NoNewWorkChecker:
    """Drained data centres and leaving instances get no new work."""

    name = 'no-new-work'

    def check(self, events: Sequence[Event]) -> Iterator[Breach]:
        """Compare the times of requests with those of the operators' acts."""
        sent = _sent_at_s(events)
        places = {
            event.instance: event.data_centre
            for event in events_of(DataCentreOf, events)
        }
        for stream in events_of(EngineStreamed, events):
            at_s = sent.get(stream.request)
            if at_s is None:
                continue
            subjects = {stream.instance, places.get(stream.instance, '')}
            if _is_closed(events, subjects, at_s):
                message = f'{stream.request} was run by {stream.instance}'
                yield Breach(self.name, at_s, message)


class VersionChecker:
    """An accepted version comes into force everywhere and never reverts."""

    name = 'configuration'

    def check(self, events: Sequence[Event]) -> Iterator[Breach]:
        """Follow each incarnation, and what is published, by time."""
        yield from self._reverted(events)
        published = tuple(events_of(VersionPublished, events))
        for before, after in pairwise(published):
            if before.version == after.version:
                message = f'version {after.version} was accepted twice'
                yield Breach(self.name, after.at_s, message)
        for seen in events_of(VersionSeen, events):
            yield from self._late(seen, published)

    def _reverted(self, events: Sequence[Event]) -> Iterator[Breach]:
        newest: dict[tuple[str, str], VersionSeen] = {}
        for seen in events_of(VersionSeen, events):
            key = (seen.node, seen.incarnation)
            known = newest.setdefault(key, seen)
            if seen.version < known.version and seen.asked_at_s > known.at_s:
                message = f'{seen.node} fell to version {seen.version}'
                yield Breach(self.name, seen.at_s, message)
            if seen.version > known.version:
                newest[key] = seen

    def _late(
        self,
        seen: VersionSeen,
        published: Sequence[VersionPublished],
    ) -> Iterator[Breach]:
        """Yield a breach if a process takes work under an old version."""
        due = [
            event.version
            for event in published
            if event.at_s + IN_FORCE_S < seen.asked_at_s
        ]
        if seen.phase == 'ready' and due and seen.version < max(due):
            message = f'{seen.node} is ready with version {seen.version}'
            yield Breach(self.name, seen.at_s, message)


#: Checkers that every scenario runs.
CHECKERS: tuple[Checker, ...] = (
    WholeAnswerChecker(),
    TrueRefusalChecker(),
    AtMostOnceChecker(),
    ColdTargetChecker(),
    OneGroupChecker(),
    NoNewWorkChecker(),
    VersionChecker(),
)


def _expected(asked: ChatSent) -> str:
    messages = [{'role': 'user', 'content': asked.prompt}]
    digest = messages_digest(messages)
    return ''.join(token_of(digest, index) for index in range(asked.max_tokens))


def _sent_at_s(events: Sequence[Event]) -> dict[str, float]:
    """Return when each request left its caller, by the router's name."""
    callers = {
        event.caller: event.at_s for event in events_of(ChatSent, events)
    }
    return {
        end.request: callers[end.caller]
        for end in events
        if isinstance(end, ChatAnswered | Failed) and end.caller in callers
    }


def _is_closed(
    events: Sequence[Event],
    subjects: set[str],
    at_s: float,
) -> bool:
    """Tell whether one of these has long been closed at some time."""
    closed = False
    for act in events_of(FaultMade, events):
        if act.subject in subjects and act.at_s + NO_NEW_WORK_S < at_s:
            closed = _after(act, closed=closed)
        elif act.subject in subjects and act.at_s < at_s:
            # It was opened again a short time ago.
            closed = closed and _after(act, closed=closed)
    return closed


def _after(act: FaultMade, *, closed: bool) -> bool:
    if act.kind in {'drain', 'leaving'}:
        return True
    return closed and act.kind != 'return'
