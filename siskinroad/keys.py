"""Keyed requests: an intent on record before the send, one run at most.

An intent counts only once the daemon has read it back from the log as the first
for its key. An intent without an outcome is never sent again by anyone.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

from siskinroad.errors import Outcome, PlatformError, Reason, Refusal
from siskinroad.ledger import KeyState, Ledger
from siskinroad.records import IntentRecorded, KeyOutcome, Record
from siskinroad.upstreams import Answer

__all__ = ["KeyGuard"]

INTENT_TIME = 2.0
OUTCOME_TIME = 1.0
OUTCOME_POLL = 0.05
MAX_KEPT_BODY = 4096
NOT_RUN = "not run"
DONE = "done"
UNKNOWN = "unknown"


class KeyGuard:
    """Runs each keyed request at most once within the data centre.

    Parameters
    ----------
    put : callable
        Appends a record within so many seconds; its future has the offset.
    applied : callable
        Waits until the ledger has applied the record at an offset.
    """

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        put: Callable[[Record, float], asyncio.Future[int]],
        applied: Callable[[int], Awaitable[None]],
    ) -> None:
        self.name = name
        self.ledger = ledger
        self.put = put
        self.applied = applied
        self._mine: set[str] = set()

    async def run(
        self,
        key: str,
        service: str,
        body: bytes,
        send: Callable[[], Awaitable[Answer]],
    ) -> Answer:
        """Send a request unless its key has been used; return the answer.

        Raises
        ------
        Refusal
            "Not run" only if no earlier use of the key can have run either.
        """
        name = f"{service}/{key}"
        mark = hashlib.blake2b(body, digest_size=12).hexdigest()
        known = self.ledger.keys.get(name)
        if name in self._mine:
            raise _in_progress()
        if known is not None and not _withdrawn(known):
            return _repeat(await self._awaited(name, known), mark)
        if not self.ledger.whole:
            raise _log_down(Outcome.UNKNOWN)
        self._mine.add(name)
        try:
            await self._record(name, service, mark)
            return await self._send(name, send)
        finally:
            self._mine.discard(name)

    async def _awaited(self, name: str, known: KeyState) -> KeyState:
        """Give an outcome that is on its way into the log time to arrive."""
        loop = asyncio.get_running_loop()
        until = loop.time() + OUTCOME_TIME
        while known.outcome is None and loop.time() < until:
            await asyncio.sleep(OUTCOME_POLL)
            known = self.ledger.keys.get(name, known)
        return known

    async def _record(self, name: str, service: str, mark: str) -> None:
        intent = IntentRecorded(name, service, mark, self.name)
        try:
            offset = await self.put(intent, INTENT_TIME)
            await self.applied(offset)
        except (PlatformError, TimeoutError):
            self._settle(name, NOT_RUN, None)
            raise _log_down(Outcome.NOT_RUN) from None
        state = self.ledger.keys.get(name)
        if state is None or state.intent.daemon != self.name or state.outcome:
            raise _in_progress()
        if state.intent.body_digest != mark:
            raise Refusal(Reason.KEY_REUSED, step="keys")

    async def _send(self, name: str, send: Callable[[], Awaitable[Answer]]) -> Answer:
        try:
            answer = await send()
        except Refusal as exc:
            not_run = exc.outcome is Outcome.NOT_RUN
            self._settle(name, NOT_RUN if not_run else UNKNOWN, None)
            raise
        except BaseException:
            self._settle(name, UNKNOWN, None)
            raise
        self._settle(name, DONE, answer)
        return answer

    def _settle(self, name: str, outcome: str, answer: Answer | None) -> None:
        status = answer.status if answer is not None else 0
        small = answer is not None and len(answer.body) <= MAX_KEPT_BODY
        body = answer.body if answer is not None and small else None
        self.put(KeyOutcome(name, outcome, status, body, self.name), float("inf"))


def _withdrawn(state: KeyState) -> bool:
    return state.outcome is not None and state.outcome.outcome == NOT_RUN


def _repeat(state: KeyState, mark: str) -> Answer:
    """Return the answer on record, or refuse."""
    if state.intent.body_digest != mark:
        raise Refusal(
            Reason.KEY_REUSED, step="keys", message="key was used for another body"
        )
    outcome = state.outcome
    if outcome is not None and outcome.outcome == DONE and outcome.body is not None:
        return Answer(outcome.status, outcome.body)
    if outcome is not None and outcome.outcome == DONE:
        raise Refusal(
            Reason.KEY_IN_PROGRESS,
            step="keys",
            outcome=Outcome.UNKNOWN,
            message="it has run; its answer was too large to keep",
        )
    raise _in_progress()


def _in_progress() -> Refusal:
    return Refusal(
        Reason.KEY_IN_PROGRESS,
        step="keys",
        outcome=Outcome.UNKNOWN,
        retry_after=1.0,
        message="a request with this key was sent and has no outcome on record",
    )


def _log_down(outcome: Outcome) -> Refusal:
    return Refusal(
        Reason.LOG_UNAVAILABLE, step="keys", outcome=outcome, retry_after=5.0
    )
