"""Effects: decisions of a scheduler, which its caller carries out in order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from siskinroad.errors import Refusal
from siskinroad.queues import Item
from siskinroad.upstreams import Control

__all__ = ["ControlTask", "Effect", "End", "Finished", "Refused", "StartTask"]


class End(StrEnum):
    """End of an attempt on its host.

    ``NOT_SENT`` and ``REJECTED`` mean that the attempt certainly did not run,
    ``LOST`` that its host is gone or its lease has expired, ``UNKNOWN`` that a
    request was sent and no complete reply arrived.
    """

    DONE = "done"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    LOST = "lost"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class StartTask:
    """Start of an item; ``hosts`` has one entry for each member."""

    item: Item
    attempt: str
    hosts: list[str]


@dataclass(slots=True)
class ControlTask:
    """Control of one member's task: stop, checkpoint, throttle or resume."""

    key: str
    attempt: str
    host: str
    member: int
    action: Control


@dataclass(slots=True)
class Refused:
    """Refusal of an item that was not served; ``refusal`` is its final reply."""

    item: Item
    refusal: Refusal


@dataclass(slots=True)
class Finished:
    """End of an item that ran to completion or failure, or was stopped."""

    item: Item
    end: End


Effect = StartTask | ControlTask | Refused | Finished
