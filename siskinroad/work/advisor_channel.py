"""Load of one advisor channel, from its calls, its failures and its daemon's reports.

What is believed of a channel ends by itself:

- A call counts until it is answered or its timeout has passed, not until its expected
  end: the advisor serves a channel's calls in turn, so that further calls to one which
  does not reply would only pile up there.
- A reported backlog is replaced by the next report.
- A channel whose calls took longer than expected counts as busy for as much longer, as
  the link to its daemon may be saturated. This fades.
- A channel whose call failed gets none for a time that doubles with each further
  failure, up to a limit, and then one call at a time until one is answered. A report
  that the channel is idle ends the wait.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

__all__ = ["MAX_BACKOFF_S", "MAX_CHANNEL_BACKLOG", "AdvisorChannel"]

# Largest backlog in seconds at which a channel is assigned another call. At least five
# planning passes run per second, so a call that gets no channel is soon retried.
MAX_CHANNEL_BACKLOG = 0.25
# Bounds in seconds of the time without calls after a failed one. The longest is also
# how long advice may still be missing after the advisor has recovered.
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0

# Seconds in which the delay of a channel fades by half, and the weight of a new one.
DELAY_HALF_LIFE_S = 5.0
DELAY_WEIGHT = 0.5

log = logging.getLogger("siskinroad.advisor_channels")


@dataclass(slots=True, eq=False)
class AdvisorChannel:
    """Load of the advisor channel of one daemon.

    Attributes
    ----------
    name : str
        Name of the daemon.
    calls : dict of int to float
        Expected durations in seconds of the calls in progress, by number of the call,
        the oldest first.
    served_since : float
        Loop time since which the oldest call is served, if the channel had no others.
    reported_free_at : float
        Loop time at which the channel is free by the newest report of its daemon.
    failures : int
        Number of failures in a row, of calls that were made after the one before had
        failed.
    failed_at, retry_at : float
        Loop time of the newest of these, and until which no further call is made.
    """

    name: str
    calls: dict[int, float] = field(default_factory=dict)
    served_since: float = 0.0
    reported_free_at: float = 0.0
    failures: int = 0
    failed_at: float = -1e9
    retry_at: float = -1e9
    _last_call: int = 0
    _delay_s: float = 0.0
    _delayed_at: float = 0.0

    def backlog(self, now: float) -> float:
        """Return the seconds until the channel is expected to be free.

        A channel that has failed is no better than one with the largest backlog that
        still counts as free, so that it gets a single call, and only if no other
        channel is free.
        """
        backlog = max(self._backlog_of_calls(now), self.reported_free_at - now)
        if not self.failures:
            return backlog
        if self.calls:
            return max(backlog, MAX_CHANNEL_BACKLOG + MAX_BACKOFF_S)
        return max(backlog, MAX_CHANNEL_BACKLOG + max(0.0, self.retry_at - now))

    def delay_s(self, now: float) -> float:
        """Return the seconds that a call takes beyond its own time and the backlog."""
        return self._delay_s * 0.5 ** ((now - self._delayed_at) / DELAY_HALF_LIFE_S)

    def record_delay(self, seconds: float, now: float) -> None:
        """Record by how many seconds a call was late; not positive if it was not."""
        former = self.delay_s(now)
        self._delay_s = former + DELAY_WEIGHT * (max(0.0, seconds) - former)
        self._delayed_at = now

    def note_late(self, seconds: float, now: float) -> None:
        """Note that a call which is not answered yet is late by so many seconds."""
        self._delay_s = max(self.delay_s(now), seconds)
        self._delayed_at = now

    def _backlog_of_calls(self, now: float) -> float:
        if not self.calls:
            return 0.0
        oldest_s = next(iter(self.calls.values()))
        return sum(self.calls.values()) - min(oldest_s, now - self.served_since)

    def begin_call(self, duration: float, now: float) -> int:
        """Add a call of ``duration`` expected seconds; return its number."""
        if not self.calls:
            self.served_since = now
        self._last_call += 1
        self.calls[self._last_call] = duration
        return self._last_call

    def end_call(self, call: int, now: float) -> None:
        """Remove a call that is answered, failed or given up."""
        if call == next(iter(self.calls)):
            self.served_since = now
        del self.calls[call]

    def record_answer(self) -> None:
        """Record that a call was answered: the channel works."""
        if self.failures:
            log.info(
                "advisor_channels: channel answers again; it gets calls as usual",
                extra={"line": self.name, "failures": self.failures},
            )
        self.failures = 0

    def record_failure(
        self, job: str, began_at: float, now: float, reason: str
    ) -> None:
        """Record that a call failed, and make no further one for a while.

        Calls that were already in progress at the last failure show nothing new.
        """
        if began_at >= self.failed_at:
            self.failures += 1
            self.failed_at = now
            self.retry_at = now + _compute_backoff_s(self.failures)
        log.warning(
            "advisor_channels: advisor call failed; "
            "other channels are preferred until the next attempt",
            extra={
                "request": job,
                "line": self.name,
                "took_s": round(now - began_at, 3),
                "calls": len(self.calls),
                "failures": self.failures,
                "retry_in_s": round(self.retry_at - now, 3),
                "reported_s": round(self.reported_free_at - now, 3),
                "error": reason,
            },
        )

    def record_report(self, backlog: float, now: float) -> None:
        """Record the backlog in seconds that the channel's daemon reports."""
        self.reported_free_at = now + backlog
        if backlog > MAX_CHANNEL_BACKLOG or self.retry_at <= now:
            return
        log.info(
            "advisor_channels: channel reported idle; it may get a call again",
            extra={
                "line": self.name,
                "backlog_s": backlog,
                "failures": self.failures,
                "failed_s": round(now - self.failed_at, 3),
                "retry_in_s": round(self.retry_at - now, 3),
            },
        )
        self.retry_at = now


def _compute_backoff_s(failures: int) -> float:
    """Return the seconds without calls after so many failures in a row."""
    # The exponent is bounded, as an advisor may fail for any number of calls.
    return min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** min(failures - 1, 10))
