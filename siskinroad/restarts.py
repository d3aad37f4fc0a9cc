"""Restart of a background loop after an unexpected error."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

__all__ = ["RESTART_DELAY", "run_restarted"]

# Seconds after which a loop that failed with an unexpected error is run again. A
# shorter time fills the log with an error that repeats.
RESTART_DELAY = 1.0


async def run_restarted(
    run: Callable[[], Awaitable[None]], name: str, log: logging.Logger
) -> None:
    """Run a background loop to its end, and again after each unexpected error.

    What waits for such a loop would otherwise wait until the daemon is restarted.

    Parameters
    ----------
    name : str
        Name of the loop in the log.
    """
    while True:
        try:
            return await run()
        except Exception:
            log.exception("%s failed; restarted in %.0f s", name, RESTART_DELAY)
        await asyncio.sleep(RESTART_DELAY)
