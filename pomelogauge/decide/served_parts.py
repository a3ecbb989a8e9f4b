"""Remembers which parts of prompts this instance has served lately."""

import math
from collections.abc import Iterable

from ..model.ids import PromptPart

#: Seconds for which a part that was served is not suspected.
SERVED_S = 30.0
#: Parts whose last service is kept, the newest ones.
MAX_SERVED_PARTS = 4096


class ServedParts:
    """Parts that this instance has served lately; used by one task."""

    def __init__(self) -> None:
        """Start with none."""
        self._served_s: dict[PromptPart, float] = {}

    def record(self, parts: Iterable[PromptPart], now_s: float) -> None:
        """Record a request that was answered wholly."""
        for part in parts:
            self._served_s.pop(part, None)
            self._served_s[part] = now_s
        while len(self._served_s) > MAX_SERVED_PARTS:
            self._served_s.pop(next(iter(self._served_s)))

    def among(
        self, parts: Iterable[PromptPart], now_s: float
    ) -> frozenset[PromptPart]:
        """Return those of the parts that were served lately."""
        oldest_s = now_s - SERVED_S
        return frozenset(
            part
            for part in parts
            if self._served_s.get(part, -math.inf) >= oldest_s
        )
