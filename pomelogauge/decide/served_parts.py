"""Remembers which parts of prompts this instance has served or lost lately."""

import math
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..model.entry_request import TargetAddress
from ..model.ids import PromptPart
from ..model.prompt_parts import PartCrash, PartService

#: Seconds for which a part that was served is not named for one lost answer.
SERVED_S = 30.0
#: Seconds between the first and the last of the losses for which a part that
#: was served before is named. Losses of one moment have another cause in
#: common.
MIN_LOSS_SPAN_S = 0.1
#: Share of the answers, of those that are remembered, from which on a part is
#: common. A common one is lost with every target, and its quarantine would
#: end a route.
COMMON_SHARE = 0.1
MAX_ANSWERS = 256
#: Parts that are remembered, the newest ones, and losses of each.
MAX_SERVED_PARTS = 4096
MAX_LOSSES = 4


@dataclass(frozen=True)
class _Loss:
    """An answer that was lost.

    Parameters
    ----------
    destination
        The target.
    at_s
        Time of the loss.
    is_named, is_final
        Whether a report names it, and whether that one knew of an answer
        since.

    """

    destination: TargetAddress
    at_s: float
    is_named: bool = False
    is_final: bool = False


class ServedParts:
    """Parts of this instance's requests; used by one task.

    All requests that a target is answering are lost with it. A part that was
    served lately is sound in all likelihood; it is named once answers with it
    are lost at two targets, one after the other, and another request has been
    answered since. One that many answers have in common is not named.

    An answer that has been under way for some time acquits a part as well, but
    is no service: the part may crash targets later in their answers.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._served_s: dict[PromptPart, float] = {}
        self._acquitted_s: dict[PromptPart, float] = {}
        self._losses: dict[PromptPart, tuple[_Loss, ...]] = {}
        self._open: set[PromptPart] = set()
        self._answered_s = -math.inf
        self._answers: deque[frozenset[PromptPart]] = deque()
        self._counts: Counter[PromptPart] = Counter()

    def record_served(
        self, parts: Iterable[PromptPart], began_s: float, now_s: float
    ) -> None:
        """Record a request that was answered wholly.

        Parameters
        ----------
        parts
            Parts of its prompt.
        began_s
            Time at which its answer began.
        now_s
            Present time of the local clock.

        """
        self._answered_s = now_s
        served = frozenset(parts)
        self._count(served)
        for part in served:
            latest_s = max(began_s, self._served_s.pop(part, began_s))
            self._served_s[part] = latest_s
            self._acquit(part, began_s)
        while len(self._served_s) > MAX_SERVED_PARTS:
            oldest = next(iter(self._served_s))
            self._served_s.pop(oldest)
            self._acquitted_s.pop(oldest)

    def record_under_way(
        self, parts: Iterable[PromptPart], began_s: float, now_s: float
    ) -> None:
        """Record an answer that has been under way for some time.

        Parameters
        ----------
        parts
            Parts of the request's prompt.
        began_s
            Time at which the answer began.
        now_s
            Present time of the local clock.

        """
        for part in parts:
            if self._was_served(part, now_s):
                self._answered_s = now_s
                self._acquit(part, began_s)

    def record_lost(
        self,
        parts: Iterable[PromptPart],
        destination: TargetAddress,
        now_s: float,
    ) -> None:
        """Record a request whose answer was lost.

        Parameters
        ----------
        parts
            Parts of its prompt.
        destination
            The target that was lost.
        now_s
            Present time of the local clock.

        """
        loss = _Loss(destination, now_s)
        for part in parts:
            losses = (*self._losses.pop(part, ()), loss)
            self._losses[part] = losses[-MAX_LOSSES:]
            self._open.add(part)
        while len(self._losses) > MAX_SERVED_PARTS:
            oldest = next(iter(self._losses))
            self._losses.pop(oldest)
            self._open.discard(oldest)

    def take_crashes(
        self, accused: frozenset[PromptPart], now_s: float
    ) -> frozenset[PartCrash]:
        """Return the crashes that are new to the owner.

        Parameters
        ----------
        accused
            Parts that the owner suspects.
        now_s
            Present time of the local clock.

        """
        crashes: list[PartCrash] = []
        for part in tuple(self._open):
            self._forget_losses(part, now_s - SERVED_S)
            if self._is_common(part, now_s):
                continue
            if part in accused or self._is_singled_out(part, now_s):
                crashes.extend(self._name(part, now_s))
        return frozenset(crashes)

    def services(
        self, parts: Iterable[PromptPart], now_s: float
    ) -> frozenset[PartService]:
        """Return the latest service of those parts that were served lately."""
        return frozenset(
            PartService(part, now_s - self._acquitted_s[part])
            for part in parts
            if self._was_served(part, now_s)
        )

    def _count(self, parts: frozenset[PromptPart]) -> None:
        self._answers.append(parts)
        self._counts.update(parts)
        if len(self._answers) > MAX_ANSWERS:
            for part in self._answers.popleft():
                self._counts[part] -= 1
                if not self._counts[part]:
                    self._counts.pop(part)

    def _is_common(self, part: PromptPart, now_s: float) -> bool:
        """Return whether many of the latest answers have the part."""
        least = COMMON_SHARE * len(self._answers)
        return self._was_served(part, now_s) and self._counts[part] >= least

    def _was_served(self, part: PromptPart, now_s: float) -> bool:
        return now_s - self._served_s.get(part, -math.inf) <= SERVED_S

    def _is_singled_out(self, part: PromptPart, now_s: float) -> bool:
        """Return whether lost answers speak against the part."""
        if not self._was_served(part, now_s):
            return True
        losses = self._losses.get(part, ())
        targets = {loss.destination.target for loss in losses}
        return (
            len(targets) > 1
            and losses[-1].at_s - losses[0].at_s >= MIN_LOSS_SPAN_S
        )

    def _name(self, part: PromptPart, now_s: float) -> list[PartCrash]:
        """Return the losses that may be named, and mark them.

        A part that was served before is named only after another answer.
        """
        crashes: list[PartCrash] = []
        losses: list[_Loss] = []
        was_served = self._was_served(part, now_s)
        for loss in self._losses.get(part, ()):
            is_final = loss.at_s < self._answered_s
            is_new = is_final > loss.is_final or not loss.is_named
            if is_new and (is_final or not was_served):
                losses.append(replace(loss, is_named=True, is_final=is_final))
                crashes.append(_crash(part, loss, now_s, is_final))
            else:
                losses.append(loss)
        self._losses[part] = tuple(losses)
        if all(one.is_final for one in losses):
            self._open.discard(part)
        return crashes

    def _acquit(self, part: PromptPart, began_s: float) -> None:
        latest_s = max(began_s, self._acquitted_s.get(part, began_s))
        self._acquitted_s[part] = latest_s
        self._forget_losses(part, latest_s)

    def _forget_losses(self, part: PromptPart, until_s: float) -> None:
        later = tuple(
            loss for loss in self._losses.pop(part, ()) if loss.at_s > until_s
        )
        if later:
            self._losses[part] = later
        else:
            self._open.discard(part)


def _crash(
    part: PromptPart, loss: _Loss, now_s: float, others_answered: bool
) -> PartCrash:
    return PartCrash(
        part,
        loss.destination.target,
        loss.destination.started_at_ms,
        now_s - loss.at_s,
        others_answered,
    )
