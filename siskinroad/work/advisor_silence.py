"""How long the advisor has been silent to the queues of a pool.

The load that it answers: steps wait for advice that does not come. Hosts that no step
may use are no capacity, however empty they are.

Nothing here does I/O. Loop times are in seconds.
"""

from __future__ import annotations

from siskinroad.work.load_summary import sample_steps
from siskinroad.work.model import Queue
from siskinroad.work.pool_state import PoolState

__all__ = ["AdvisorSilence"]

# Seconds beyond the time of a call after which an advisor without answers is silent.
ADVISOR_SILENCE_S = 2.0


class AdvisorSilence:
    """Times since when no request for advice of a queue has been answered.

    Parameters
    ----------
    pool_state : PoolState
        State of the pool.
    """

    def __init__(self, pool_state: PoolState) -> None:
        self._pool_state = pool_state
        self._unanswered_since: dict[str, float] = {}

    def refresh(self, now: float) -> None:
        """Note which queues have a request underway, and the newest answers."""
        pending: set[str] = set()
        present: set[str] = set()
        answered_at: dict[str, float] = {}
        _, steps = sample_steps(self._pool_state)
        for step in steps:
            queue = self._pool_state.queues.get(step.job.queue)
            if queue is None or queue.advice is None:
                continue
            present.add(queue.name)
            if step.is_advice_pending:
                pending.add(queue.name)
            newest = step.advice.newest_valid_until - queue.advice.valid_s
            answered_at[queue.name] = max(newest, answered_at.get(queue.name, newest))
        for name, since in list(self._unanswered_since.items()):
            # A failed request is made again after a pause: without any pending, only
            # an answer or the end of the work ends the silence.
            if name not in present or answered_at[name] > since:
                del self._unanswered_since[name]
        for name in pending:
            self._unanswered_since.setdefault(name, now)

    def silence_s(self, queue: Queue, now: float) -> float:
        """Return for how long the advisor has been silent; 0 if it answers."""
        if queue.advice is None:
            return 0.0
        since = self._unanswered_since.get(queue.name, now)
        call_s = self._pool_state.queue_times(queue.name).advice_s
        return now - since if now - since > ADVISOR_SILENCE_S + call_s else 0.0
