"""Reads that go several ways to the store, of which the first answer counts."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

from siskinroad.work.store import StoreUnavailableError, StoreUnknownError

__all__ = ["READ_LATE_AFTER", "ReadRace"]

# Seconds beyond the requested wait after which a read is late and goes the next way
# too. A store that takes longer for each answer gets each read several times.
READ_LATE_AFTER = 0.4
# Ways that are taken because the ones before have failed. More of them would multiply
# the calls to a store that rejects them.
WAYS_AFTER_FAILURE = 2

log = logging.getLogger("siskinroad.relay")
T = TypeVar("T")

# Takes the seconds for which the store may wait for a new record.
Way = Callable[[float], Coroutine[Any, Any, T]]


class ReadRace:
    """Runner of reads by several ways.

    A way that is taken after a failure may wait for a new record, as the first one. A
    way that is taken because another is late may not: it shows what there is now.
    """

    def __init__(self) -> None:
        self._unneeded: set[asyncio.Task[Any]] = set()

    async def run(
        self,
        ways: Sequence[Way[T]],
        wait: float,
        *,
        is_arriving: Callable[[], bool] = lambda: False,
    ) -> T:
        """Return the first answer, which may be an error that is one.

        Parameters
        ----------
        wait : float
            Seconds for which the first way may wait for a new record.
        is_arriving : callable, optional
            Returns whether the answer to a way that was taken is arriving: such a
            read is not late.

        Raises
        ------
        StoreUnavailableError, StoreUnknownError
            If no way brought an answer.
        """
        pending: set[asyncio.Task[T]] = set()
        taken = 0
        try:
            while True:
                if taken < len(ways):
                    way_wait = 0.0 if pending else wait
                    pending.add(asyncio.create_task(ways[taken](way_wait)))
                    late_after_s = way_wait + READ_LATE_AFTER
                    taken += 1
                done = await _wait_for_any(
                    pending, late_after_s if taken < len(ways) else None
                )
                while not done and is_arriving():
                    done = await _wait_for_any(pending, READ_LATE_AFTER)
                pending -= done
                # Each exception is retrieved, also those that are not raised.
                failures = [task.exception() for task in done]
                for task, failure in zip(done, failures, strict=True):
                    if not _is_failure(failure):
                        return task.result()
                is_last = taken >= min(len(ways), WAYS_AFTER_FAILURE)
                if done and not pending and is_last:
                    raise next(exc for exc in failures if exc is not None)
        except asyncio.CancelledError:
            for task in pending:
                task.cancel()
            raise
        finally:
            self._leave(pending)

    def _leave(self, tasks: set[asyncio.Task[T]]) -> None:
        """Let reads end by themselves, and drop their results.

        A cancelled direct read would close the connections of other calls.
        """
        for task in tasks:
            self._unneeded.add(task)
            task.add_done_callback(self._drop)

    def _drop(self, task: asyncio.Task[Any]) -> None:
        self._unneeded.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.debug(
                "relay: read failed that another way has answered",
                extra={"error": str(task.exception())},
            )


async def _wait_for_any(
    tasks: set[asyncio.Task[T]], timeout: float | None
) -> set[asyncio.Task[T]]:
    done, _ = await asyncio.wait(
        tasks, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
    )
    return done


def _is_failure(exc: BaseException | None) -> bool:
    return isinstance(exc, (StoreUnavailableError, StoreUnknownError))
