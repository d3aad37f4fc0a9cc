"""Share of a caller's remaining time that is kept for returning the reply.

A caller who has tried several times in an outage has little time left for the last one.
A fixed margin would leave none of it to ask whether its job was accepted, so that the
reply would be that the outcome is unknown.
"""

from __future__ import annotations

import asyncio

__all__ = ["leave_reply_margin", "reply_margin"]

# Most seconds that are kept, and the most of the remaining time.
MAX_MARGIN = 0.15
MAX_SHARE = 0.25


def reply_margin(remaining_s: float) -> float:
    """Return the seconds to keep of a remaining time in seconds."""
    return min(MAX_MARGIN, MAX_SHARE * max(0.0, remaining_s))


def leave_reply_margin(deadline: float) -> float:
    """Return the loop time by which a reply must be ready to meet a deadline."""
    return deadline - reply_margin(deadline - asyncio.get_running_loop().time())
