"""Times after which callers come back who were refused while the store is away.

An outage that has lasted for a while is likely to last for as long again, so the time
grows with its age. But a caller who is told to come back after its deadline has lost
its job, and callers who all come back at once are a second burst. So the time leaves
room for one more try before the deadline, and is spread by a hash of the job's id;
where there is room, jobs that may wait longer come back later.

A caller whose deadline is nearer than the least retry time would not come back. Its
submit waits for a part of the time that is left, in which the store may answer; half of
it remains for a try at another daemon.
"""

from __future__ import annotations

import zlib

__all__ = ["choose_retry_time", "choose_store_wait"]

# Least seconds after which a caller should retry: about the time of a takeover.
MIN_RETRY_TIME = 1.0
MAX_RETRY_TIME = 4.0
# The retry time as a fraction of the outage's age so far.
OUTAGE_AGE_SHARE = 0.5
# The retry time as a share of the caller's remaining time, and of the time that its
# queue allows a job.
REMAINING_SHARE = 0.5
ALLOWED_SHARE = 0.5
# Largest part of a retry time by which it is shortened to spread callers.
SPREAD = 0.5
# Part of the remaining time for which a submit waits that could not come back. With the
# question to the owner before a refusal, it leaves the caller half.
WAIT_SHARE = 0.4


def choose_retry_time(
    outage_s: float, remaining_s: float, allowed_s: float, job: str
) -> float:
    """Return the seconds after which a refused caller should retry.

    Parameters
    ----------
    outage_s : float
        Seconds since the store's last answer.
    remaining_s : float
        Seconds until the caller's deadline.
    allowed_s : float
        Least seconds in which a job of the queue should be complete.
    job : str
        The job's id, whose hash spreads the callers.
    """
    longest_s = min(
        MAX_RETRY_TIME,
        outage_s * OUTAGE_AGE_SHARE,
        remaining_s * REMAINING_SHARE,
        max(MIN_RETRY_TIME, allowed_s * ALLOWED_SHARE),
    )
    part = zlib.crc32(job.encode()) / 2**32
    return max(MIN_RETRY_TIME, longest_s * (1.0 - SPREAD * part))


def choose_store_wait(remaining_s: float) -> float:
    """Return for how many seconds a submit should wait for the store to answer.

    Parameters
    ----------
    remaining_s : float
        Seconds until the caller's deadline.
    """
    if remaining_s >= MIN_RETRY_TIME:
        return 0.0
    return max(0.0, remaining_s * WAIT_SHARE)
