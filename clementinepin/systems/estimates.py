"""Estimates of how long requests run on engines and how long callers wait."""

from __future__ import annotations

from typing import Final

STEP_S: Final = 0.0039  # per token on a full engine: 3.55 ms plus 0.046 ms for each of 8 requests
FIRST_EVENT_S: Final = 0.06  # sending, prefill and the first step at low load
FIRST_EVENT_LATE_S: Final = 0.15  # 99th percentile on full engines, including the way to the caller
SILENT_MIN_S: Final = 0.4  # a shorter silence may be a lost packet
SILENT_FACTOR: Final = 10.0  # of the mean time to the first response
RESPONSE_WEIGHT: Final = 0.05  # of the newest response in the mean
PATIENCE_MIN_S: Final = 2.0  # callers give up a stream without an event after this time,
PATIENCE_OBJECTIVES: Final = 4.0  # or this many objectives,
PATIENCE_GAPS: Final = 8.0  # or this many gap objectives, whichever is longest
# Callers count their timeout from the first attempt, so that less time left shows a retry.
RETURN_SHARE: Final = 0.93
REST_SHARE_MIN: Final = 0.1  # of a run, for one that is longer than its caller estimated
OUTPUT_TOKENS_DEFAULT: Final = 200  # assumed when the request has neither a length hint nor a bound


class ResponseTimes:
    """Mean seconds from sending a request to the first response, by service."""

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}

    def record(self, service: str, response_s: float) -> None:
        """Record a response; a silence counts as no longer than it takes to be reported."""
        mean_s = self._means_s.get(service, 0.0)
        bounded_s = min(response_s, self.get_silent_after_s(service))
        self._means_s[service] = mean_s + RESPONSE_WEIGHT * (bounded_s - mean_s)

    def get_silent_after_s(self, service: str) -> float:
        """Return after how many seconds without a response a target counts as silent.

        Load pattern: targets that stop responding beside others that need long for a first event.
        """
        return max(SILENT_MIN_S, SILENT_FACTOR * self._means_s.get(service, 0.0))


def estimate_run(output_tokens_max: int, length_hint: int) -> float:
    """Return the seconds that a request is expected to hold its slot."""
    tokens = length_hint or output_tokens_max or OUTPUT_TOKENS_DEFAULT
    if output_tokens_max:
        tokens = min(tokens, output_tokens_max)
    return FIRST_EVENT_S + tokens * STEP_S


def estimate_rest(run_s: float, events: int, event_gap_s: float) -> float:
    """Return the seconds in a slot that a run still needs after it has produced ``events``.

    ``run_s`` is the estimate for the whole run, ``event_gap_s`` the usual time between two events.

    Load pattern: items that peaks of callers preempt again and again. Counted as if it had to start
    over, an item that is nearly done would seem unable to end by its due time.
    """
    rest_s = run_s - events * event_gap_s
    return max(rest_s, run_s * REST_SHARE_MIN) if events else run_s


def is_return(time_left_s: float, timeout_s: float) -> bool:
    """Return whether the time left shows that the caller was rejected before and is retrying."""
    return time_left_s < timeout_s * RETURN_SHARE


def estimate_patience(objective_s: float, gap_objective_s: float) -> float:
    """Return the seconds after which callers give up a stream that has not begun."""
    return max(PATIENCE_MIN_S, PATIENCE_OBJECTIVES * objective_s, PATIENCE_GAPS * gap_objective_s)
