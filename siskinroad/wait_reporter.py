"""Reports of the waits of one shard, to the metrics and to the log."""

from __future__ import annotations

import logging
from typing import Protocol

from siskinroad.owner_context import OwnerContext
from siskinroad.queues import Item
from siskinroad.waits import (
    WaitCause,
    WaitReason,
    WaitSummary,
    find_long_waits,
    find_wait_cause,
    sum_up_waits,
)

__all__ = ["WaitReporter"]

# Seconds of waiting after which a log line tells of it.
LONG_WAIT = 30.0
# Seconds between two searches for long waits.
REPORT_INTERVAL = 10.0
# Least time in seconds between two lines about one workload, and most lines of one
# search. They bound the log of a shard in which everything waits.
LINE_INTERVAL = 60.0
MAX_LINES = 5

log = logging.getLogger("siskinroad.waits")


class DeferredTasks(Protocol):
    """Tasks that are not queued while hosts are silent after a takeover."""

    def count_deferred(self) -> int:
        """Return the number of tasks that are not queued yet."""

    def deferred_for(self) -> float:
        """Return the seconds since the takeover, 0 if no task is deferred."""


class WaitReporter:
    """Reporter of what waits at one owner, and why.

    Parameters
    ----------
    tasks : DeferredTasks
        The owner's tasks.
    """

    def __init__(self, owner: OwnerContext, tasks: DeferredTasks) -> None:
        self.owner = owner
        self.tasks = tasks
        self._logged_at: dict[str, float] = {}
        self._next_search_at = owner.now() + REPORT_INTERVAL

    def find_cause(self, item: Item) -> WaitCause:
        """Return why a waiting item is not placed."""
        if self.owner.is_stale:
            text = "a host has seen a newer owner of the shard than this daemon"
            inputs: dict[str, object] = {"epoch": self.owner.epoch}
            return WaitCause(WaitReason.STALE_EPOCH, text, inputs)
        return find_wait_cause(self.owner.scheduler, item, self.owner.now())

    def sum_up(self) -> dict[WaitReason, WaitSummary]:
        """Return the number of waiting items and the longest wait by reason."""
        summaries = sum_up_waits(self.owner.scheduler, self.owner.now())
        if self.owner.is_stale:
            total = WaitSummary()
            for summary in summaries.values():
                total.add(summary.count, summary.longest_s)
            summaries = {WaitReason.STALE_EPOCH: total}
        deferred = self.tasks.count_deferred()
        if deferred:
            summary = WaitSummary(deferred, self.tasks.deferred_for())
            summaries[WaitReason.SILENT_HOSTS] = summary
        return summaries

    def log_long_waits(self) -> None:
        """Log the longest waits, at most one line for a workload in ``LINE_INTERVAL``.

        A call within ``REPORT_INTERVAL`` of the last search does nothing.
        """
        now = self.owner.now()
        if now < self._next_search_at:
            return
        self._next_search_at = now + REPORT_INTERVAL
        self._logged_at = {
            name: logged_at
            for name, logged_at in self._logged_at.items()
            if now - logged_at < LINE_INTERVAL
        }
        items = find_long_waits(self.owner.scheduler, now, LONG_WAIT)
        due = [item for item in items if item.workload.name not in self._logged_at]
        for item in due[:MAX_LINES]:
            self._logged_at[item.workload.name] = now
            self._log_wait(item, now)

    def _log_wait(self, item: Item, now: float) -> None:
        cause = self.find_cause(item)
        tried_at = self.owner.scheduler.shard.waiting.lane(item.workload).tried_at
        fields = {
            "id": item.key,
            "shard": self.owner.shard,
            "workload": item.workload.name,
            "reason": cause.reason.value,
            "inputs": cause.inputs,
            "tried_s": None if tried_at is None else round(now - tried_at, 3),
            "waited_s": round(now - item.waiting_since, 3),
        }
        log.warning(
            "waits: %s is not placed after %.0f s: %s",
            item.key,
            now - item.waiting_since,
            cause.text,
            extra=fields,
        )
