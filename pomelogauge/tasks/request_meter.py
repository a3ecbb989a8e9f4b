"""Measures one request; owned by the task that serves its caller."""

from ..decide.request_chart import RequestState
from ..model.ids import OrganisationName
from ..model.metrics import Counter, Timing
from .clock import Clock
from .metrics import CounterIncrement, RequestMetrics, TimingSample

_ENDS = {
    RequestState.ENDED: Counter.REQUESTS_SERVED,
    RequestState.CANCELLED: Counter.REQUESTS_CANCELLED,
}


class RequestMeter:
    """Notes times as they come and sums them up once.

    Parameters
    ----------
    clock
        Own clock.
    organisation
        Whose request it is.

    """

    def __init__(self, clock: Clock, organisation: OrganisationName) -> None:
        """Begin to measure."""
        self._clock = clock
        self._organisation = organisation
        self._begun_at_s = clock.now_s()
        self._place_wait_s = 0.0
        self._first_token_at_s: float | None = None
        self._places = 0

    def note_place(self, requested_at_s: float) -> None:
        """Note that a place was given or refused."""
        self._places += 1
        self._place_wait_s += self._clock.now_s() - requested_at_s

    def note_token(self) -> None:
        """Note a token; only the first one counts."""
        if self._first_token_at_s is None:
            self._first_token_at_s = self._clock.now_s()

    def measured(self, state: RequestState, tokens: int) -> RequestMetrics:
        """Return what was measured; refusals are counted elsewhere."""
        counts = []
        if state in _ENDS:
            counts.append(CounterIncrement(_ENDS[state], self._organisation))
        if self._places > 1:
            resumed = Counter.REQUESTS_RESUMED
            counts.append(
                CounterIncrement(resumed, self._organisation, self._places - 1)
            )
        if tokens:
            counts.append(
                CounterIncrement(Counter.TOKENS, self._organisation, tokens)
            )
        return RequestMetrics(tuple(counts), self._timings(state))

    def _timings(self, state: RequestState) -> tuple[TimingSample, ...]:
        timings = [TimingSample(Timing.PLACE_WAIT, self._place_wait_s)]
        if self._first_token_at_s is not None:
            first_s = self._first_token_at_s - self._begun_at_s
            timings.append(TimingSample(Timing.FIRST_TOKEN, first_s))
        if state is RequestState.ENDED:
            whole_s = self._clock.now_s() - self._begun_at_s
            timings.append(TimingSample(Timing.WHOLE_ANSWER, whole_s))
        return tuple(timings)
