"""Check of the keys with which callers act for client accounts.

Load and failure that it answers: keys are taken away from callers who go on sending, at
daemons that may be cut off from the store, suspended or slow. A key must not work for
longer than the revocation limit after the version without it was stored, so a version
of the configuration that may be older than that admits no key.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from siskinroad.suspend_detector import SuspendDetector
from siskinroad.work.client_accounts import digest_key
from siskinroad.work.configuration_reader import ConfigurationReader
from siskinroad.work.model import Queue

__all__ = ["ANONYMOUS", "Caller", "KeyCheck", "KeyLimits", "KeyOutcome"]

# Seconds by which a version must be younger than the revocation limit: timers and
# clocks are rounded.
REVOCATION_MARGIN_S = 0.25

log = logging.getLogger("siskinroad.key_check")


@dataclass(slots=True, frozen=True)
class KeyLimits:
    """Limits on the use of keys that the deployment's settings set.

    Attributes
    ----------
    is_strict : bool
        A key that was taken away must not work for longer than ``revocation_s`` even at
        a daemon that cannot learn of it.
    revocation_s : float
        Seconds since the version without a key was stored.
    """

    is_strict: bool = False
    revocation_s: float = 5.0


class KeyOutcome(StrEnum):
    """Outcome of a check.

    ``OLD_CONFIGURATION``: the key may have been taken away longer ago than the limit.
    ``UNCONFIRMED``: the key may be in a newer version.
    """

    NOT_NEEDED = "not_needed"
    ADMITTED = "admitted"
    UNKNOWN_KEY = "unknown_key"
    UNCONFIRMED = "key_unconfirmed"
    OLD_CONFIGURATION = "configuration_too_old"


@dataclass(slots=True, frozen=True)
class Caller:
    """Caller of a request.

    Attributes
    ----------
    key : str
        Key that the request carries; empty if it has none.
    account : str
        Account for which it acts; empty if it needs none and has none.
    """

    key: str = ""
    account: str = ""


ANONYMOUS = Caller()


class KeyCheck:
    """Checker of callers' keys against the configuration in force.

    Parameters
    ----------
    reader : ConfigurationReader
        Source of the configuration in force, and of its age.
    observe : callable
        Receives the outcome of each check, for the metrics.
    """

    def __init__(
        self,
        reader: ConfigurationReader,
        limits: KeyLimits,
        observe: Callable[[KeyOutcome], None] = lambda outcome: None,
    ) -> None:
        self._reader = reader
        self._limits = limits
        self._observe = observe
        self._suspend_detector = SuspendDetector()

    def identify(self, queue: Queue, key: str) -> tuple[KeyOutcome, Caller]:
        """Return whether a caller may use a queue now, and for which account."""
        outcome, caller = self._identify(queue, key)
        self._observe(outcome)
        if outcome not in (KeyOutcome.NOT_NEEDED, KeyOutcome.ADMITTED):
            log.info(
                "key_check: key not admitted",
                extra={
                    "queue": queue.name,
                    "key_digest": digest_key(key) if key else "",
                    "outcome": outcome.value,
                    "version": self._reader.version,
                    "version_age_s": round(self._reader.confirmed_age_s(), 2),
                },
            )
        return outcome, caller

    def recheck(self, queue: Queue, caller: Caller) -> KeyOutcome:
        """Check a caller again right before its request takes effect."""
        outcome, now = self.identify(queue, caller.key)
        if outcome is KeyOutcome.ADMITTED and now.account != caller.account:
            return KeyOutcome.UNKNOWN_KEY
        return outcome

    def _identify(self, queue: Queue, key: str) -> tuple[KeyOutcome, Caller]:
        configuration = self._reader.configuration
        if configuration is None or configuration.accounts is None:
            return KeyOutcome.NOT_NEEDED, ANONYMOUS
        account = configuration.accounts.find_by_key(key) if key else None
        if account is None:
            if queue.is_public:
                return KeyOutcome.NOT_NEEDED, ANONYMOUS
            is_known = self._reader.is_confirmed()
            refusal = KeyOutcome.UNKNOWN_KEY if is_known else KeyOutcome.UNCONFIRMED
            return refusal, ANONYMOUS
        if queue.is_public or self._is_recent():
            return KeyOutcome.ADMITTED, Caller(key, account.name)
        return KeyOutcome.OLD_CONFIGURATION, ANONYMOUS

    def _is_recent(self) -> bool:
        """Return whether no key in force was taken away longer ago than the limit."""
        if not self._limits.is_strict:
            return True
        if self._suspend_detector.take_suspended_s():
            self._reader.distrust_earlier_reads()
        limit_s = self._limits.revocation_s - REVOCATION_MARGIN_S
        return self._reader.confirmed_age_s() <= limit_s
