"""Counts and log lines of requests that are refused before they reach a handler."""

from __future__ import annotations

import asyncio
import logging

from prometheus_client import Counter

from siskinroad.receive_budget import ReceiveBudget

__all__ = ["RefusalLog"]

# Seconds between two log lines of the same reason, so that a crowd of clients cannot
# use up the processor with them.
LOG_INTERVAL_S = 10.0

log = logging.getLogger("siskinroad.refusals")


class RefusalLog:
    """Counter of refusals by reason that logs each reason now and then.

    Parameters
    ----------
    counter : Counter
        Metric with the label ``reason``.
    budget : ReceiveBudget
        The budget whose use is logged.
    """

    def __init__(self, counter: Counter, budget: ReceiveBudget) -> None:
        self._counter = counter
        self._budget = budget
        self._last_logged_s: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}

    def count(self, reason: str) -> None:
        """Count a refusal; log it unless its reason was logged just before."""
        self._counter.labels(reason).inc()
        self._unlogged[reason] = self._unlogged.get(reason, 0) + 1
        now = asyncio.get_running_loop().time()
        if now - self._last_logged_s.get(reason, float("-inf")) < LOG_INTERVAL_S:
            return
        self._last_logged_s[reason] = now
        log.warning(
            "http: requests or connections refused before they reached a handler",
            extra={
                "reason": reason,
                "count": self._unlogged.pop(reason),
                "body_bytes": self._budget.used,
                "budget_bytes": self._budget.capacity,
            },
        )
