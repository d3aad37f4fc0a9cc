"""Progress of a response that arrives in pieces, with the time limits for them."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["ResponseArrival"]


@dataclass(slots=True, eq=False)
class ResponseArrival:
    """Progress of the body of one successful response.

    Attributes
    ----------
    pause_limit : float
        Seconds without further bytes after which an arriving response is given up.
    time_limit : float
        Seconds after the request at which a response is given up though it arrives.
    received_at : float
        Loop time at which the last bytes arrived; negative infinity before the first.
    on_received : callable
        Called when bytes have arrived.
    """

    pause_limit: float
    time_limit: float
    received_at: float = -math.inf
    on_received: Callable[[], None] = lambda: None

    def note_received(self, now: float) -> None:
        """Note that bytes have arrived.

        Parameters
        ----------
        now : float
            Loop time in seconds.
        """
        self.received_at = now
        self.on_received()

    def find_deadline(self, sent_at: float) -> float:
        """Return the loop time until which the response may be waited for.

        It is negative infinity before the first bytes.

        Parameters
        ----------
        sent_at : float
            Loop time in seconds at which the request was sent.
        """
        return min(self.received_at + self.pause_limit, sent_at + self.time_limit)
