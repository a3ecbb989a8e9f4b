"""Measures the times of one model request."""

from ..decide.request_chart import RequestState
from ..model.ids import OrganisationName
from ..model.metrics import Counter, Timing
from .clock import Clock
from .metrics import CounterIncrement, RequestMetrics, TimingSample

_COUNTERS_BY_END_STATE = {
    RequestState.ENDED: Counter.REQUESTS_SERVED,
    RequestState.CANCELLED: Counter.REQUESTS_CANCELLED,
}


class RequestMeter:
    """Collects the times of one request and sums them up when it ends.

    It belongs to the task that serves the caller.

    Parameters
    ----------
    clock
        Clock of the measured times.
    organisation
        Organisation under whose label the request is counted.

    """

    def __init__(self, clock: Clock, organisation: OrganisationName) -> None:
        """Start measuring at the current time."""
        self._clock = clock
        self._organisation = organisation
        self._begun_at_s = clock.now_s()
        self._slot_wait_s = 0.0
        self._first_token_at_s: float | None = None
        self._slot_answers = 0

    def record_slot_answer(self, requested_at_s: float) -> None:
        """Record that a slot was granted or denied, and the wait for it.

        Parameters
        ----------
        requested_at_s
            Time on the clock at which the slot was requested.

        """
        self._slot_answers += 1
        self._slot_wait_s += self._clock.now_s() - requested_at_s

    def record_token(self) -> None:
        """Record the time of a token; only that of the first is kept."""
        if self._first_token_at_s is None:
            self._first_token_at_s = self._clock.now_s()

    def metrics(self, state: RequestState, tokens: int) -> RequestMetrics:
        """Return the counts and times of the request that has ended.

        Refusals are not among them; the front end counts them.

        Parameters
        ----------
        state
            State in which the request has ended.
        tokens
            Number of tokens that were relayed.

        """
        counts = []
        if state in _COUNTERS_BY_END_STATE:
            counts.append(
                CounterIncrement(
                    _COUNTERS_BY_END_STATE[state], self._organisation
                )
            )
        if self._slot_answers > 1:
            resumed = Counter.REQUESTS_RESUMED
            counts.append(
                CounterIncrement(
                    resumed, self._organisation, self._slot_answers - 1
                )
            )
        if tokens:
            counts.append(
                CounterIncrement(Counter.TOKENS, self._organisation, tokens)
            )
        return RequestMetrics(tuple(counts), self._timings(state))

    def _timings(self, state: RequestState) -> tuple[TimingSample, ...]:
        timings = [TimingSample(Timing.PLACE_WAIT, self._slot_wait_s)]
        if self._first_token_at_s is not None:
            first_s = self._first_token_at_s - self._begun_at_s
            timings.append(TimingSample(Timing.FIRST_TOKEN, first_s))
        if state is RequestState.ENDED:
            whole_s = self._clock.now_s() - self._begun_at_s
            timings.append(TimingSample(Timing.WHOLE_ANSWER, whole_s))
        return tuple(timings)
