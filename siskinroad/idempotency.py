"""At-most-once execution of keyed requests: an intent is stored before the send.

An intent is valid only once the daemon has read it back from the log as the first
for its key. A request with a stored intent but no outcome is never sent again, by
any daemon.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

from siskinroad.errors import Outcome, PlatformError, Reason, Refusal
from siskinroad.ledger import KeyState, Ledger
from siskinroad.records import IntentRecorded, KeyOutcome, Record
from siskinroad.upstreams import UpstreamResponse

__all__ = ["IdempotencyGuard"]

# Seconds in which an intent must be appended to the log; otherwise the request is
# refused as not run.
INTENT_TIMEOUT = 2.0
# Seconds that a repeated request waits for the first one's outcome.
OUTCOME_TIMEOUT = 1.0
# Seconds between two reads of the ledger during that wait.
OUTCOME_POLL_INTERVAL = 0.05
# Numbers of intents reserved for each incarnation, so that they differ across restarts.
# A smaller value could give one number to intents of two incarnations.
NUMBERS_PER_INCARNATION = 1 << 20
# Most bytes of a response body that are stored with the outcome. A repeat of a request
# with a larger response is refused instead of answered.
MAX_STORED_BODY = 4096
NOT_RUN = "not run"
DONE = "done"
UNKNOWN = "unknown"


class IdempotencyGuard:
    """Guard that runs each keyed request at most once within the data centre.

    Parameters
    ----------
    incarnation : int
        Incarnation of this daemon; the numbers of its intents start from it.
    append : callable
        Appends a record within a time limit in seconds; its future returns the
        offset.
    wait_applied : callable
        Waits until the ledger has applied the record at an offset.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        ledger: Ledger,
        append: Callable[[Record, float], asyncio.Future[int]],
        wait_applied: Callable[[int], Awaitable[None]],
    ) -> None:
        self.name = name
        self.ledger = ledger
        self.append = append
        self.wait_applied = wait_applied
        self._active_keys: set[str] = set()
        self._next_number = incarnation * NUMBERS_PER_INCARNATION

    async def run(
        self,
        key: str,
        service: str,
        body: bytes,
        send: Callable[[], Awaitable[UpstreamResponse]],
    ) -> UpstreamResponse:
        """Send a request unless its key has been used; return the answer.

        Raises
        ------
        Refusal
            If the key is in use or was used for another body, if the log is not
            available, or if ``send`` refuses. The outcome is "not run" only if no
            earlier request with the key can have run either.
        """
        name = f"{service}/{key}"
        request_digest = hashlib.blake2b(body, digest_size=12).hexdigest()
        known = self.ledger.keys.get(name)
        if name in self._active_keys:
            raise _in_progress_refusal()
        if known is not None and not _did_not_run(known):
            return _replay_answer(
                await self._wait_for_outcome(name, known), request_digest
            )
        if not self.ledger.is_complete:
            raise _log_unavailable_refusal(Outcome.UNKNOWN)
        self._active_keys.add(name)
        try:
            intent = self._make_intent(name, service, request_digest)
            await self._record_intent(intent)
            return await self._send(intent, send)
        finally:
            self._active_keys.discard(name)

    async def _wait_for_outcome(self, name: str, known: KeyState) -> KeyState:
        """Wait up to ``OUTCOME_TIMEOUT`` for a key's outcome to arrive in the log."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + OUTCOME_TIMEOUT
        while known.outcome is None and loop.time() < deadline:
            await asyncio.sleep(OUTCOME_POLL_INTERVAL)
            known = self.ledger.keys.get(name, known)
        return known

    def _make_intent(
        self, name: str, service: str, request_digest: str
    ) -> IntentRecorded:
        self._next_number += 1
        return IntentRecorded(
            name, service, request_digest, self.name, self._next_number
        )

    async def _record_intent(self, intent: IntentRecorded) -> None:
        try:
            offset = await self.append(intent, INTENT_TIMEOUT)
            await self.wait_applied(offset)
        except (PlatformError, TimeoutError):
            self._record_outcome(intent, NOT_RUN, None)
            raise _log_unavailable_refusal(Outcome.NOT_RUN) from None
        except asyncio.CancelledError:
            # The caller is gone and nothing was sent, but the intent may be stored.
            self._record_outcome(intent, NOT_RUN, None)
            raise
        state = self.ledger.keys.get(intent.key)
        if state is None or state.intent.daemon != self.name or state.outcome:
            raise _in_progress_refusal()
        if state.intent.body_digest != intent.body_digest:
            raise Refusal(Reason.KEY_REUSED, step="keys")
        if state.intent.number != intent.number:
            raise _in_progress_refusal()

    async def _send(
        self, intent: IntentRecorded, send: Callable[[], Awaitable[UpstreamResponse]]
    ) -> UpstreamResponse:
        try:
            answer = await send()
        except Refusal as exc:
            did_not_run = exc.outcome is Outcome.NOT_RUN
            self._record_outcome(intent, NOT_RUN if did_not_run else UNKNOWN, None)
            raise
        except BaseException:
            self._record_outcome(intent, UNKNOWN, None)
            raise
        self._record_outcome(intent, DONE, answer)
        return answer

    def _record_outcome(
        self, intent: IntentRecorded, outcome: str, answer: UpstreamResponse | None
    ) -> None:
        status = answer.status if answer is not None else 0
        is_small = answer is not None and len(answer.body) <= MAX_STORED_BODY
        body = answer.body if answer is not None and is_small else None
        record = KeyOutcome(intent.key, outcome, status, body, self.name, intent.number)
        self.append(record, float("inf"))


def _did_not_run(state: KeyState) -> bool:
    return state.outcome is not None and state.outcome.outcome == NOT_RUN


def _replay_answer(state: KeyState, request_digest: str) -> UpstreamResponse:
    """Return the stored answer to a repeated request.

    Raises
    ------
    Refusal
        If the body differs, or no answer is stored.
    """
    if state.intent.body_digest != request_digest:
        raise Refusal(
            Reason.KEY_REUSED, step="keys", message="key was used for another body"
        )
    outcome = state.outcome
    if outcome is not None and outcome.outcome == DONE and outcome.body is not None:
        return UpstreamResponse(outcome.status, outcome.body)
    if outcome is not None and outcome.outcome == DONE:
        raise Refusal(
            Reason.KEY_IN_PROGRESS,
            step="keys",
            outcome=Outcome.UNKNOWN,
            message="the request has run; its response was too large to store",
        )
    raise _in_progress_refusal()


def _in_progress_refusal() -> Refusal:
    return Refusal(
        Reason.KEY_IN_PROGRESS,
        step="keys",
        outcome=Outcome.UNKNOWN,
        retry_after=1.0,
        message="a request with this key was sent and has no outcome on record",
    )


def _log_unavailable_refusal(outcome: Outcome) -> Refusal:
    return Refusal(
        Reason.LOG_UNAVAILABLE, step="keys", outcome=outcome, retry_after=5.0
    )
