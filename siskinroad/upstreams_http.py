"""Workers over HTTP, as ``docs/PLATFORM.md`` states it."""

from __future__ import annotations

import msgspec

from siskinroad.cell import Host
from siskinroad.errors import (
    OutcomeUnknownError,
    Reason,
    Refusal,
    StaleEpochError,
)
from siskinroad.http_client import HttpAnswer, HttpPool
from siskinroad.upstreams import Answer, Control, Inventory, TaskStart, Upstreams

__all__ = [
    "ATTEMPT_HEADER",
    "EPOCH_HEADER",
    "OUTCOME_HEADER",
    "HttpUpstreams",
    "InventoryQuery",
]

ATTEMPT_HEADER = "siskinroad-attempt"
EPOCH_HEADER = "siskinroad-epoch"
OUTCOME_HEADER = "siskinroad-outcome"
NOT_RUN = "not run"
CONTROL_TIME = 2.0
STALE = 412
OK = 200


class InventoryQuery(msgspec.Struct, frozen=True):
    """Body of an inventory request."""

    acked: list[str]
    wait: float
    renew: bool


class HttpUpstreams(Upstreams):
    """A client of every worker of the cell."""

    def __init__(self) -> None:
        self.pool = HttpPool()

    async def request(
        self, host: Host, attempt: str, epoch: int, path: str, body: bytes, limit: float
    ) -> Answer:
        """Send one request; see the base class."""
        answer = await self._ask(host, epoch, "POST", path, body, limit, attempt)
        if answer.headers.get(OUTCOME_HEADER) == NOT_RUN:
            raise Refusal(Reason.UPSTREAM_FAILED, step="upstream", peer=host.name)
        echoed = answer.headers.get(ATTEMPT_HEADER, attempt)
        if echoed != attempt:
            raise OutcomeUnknownError(
                f"answer to {echoed}", step="upstream", peer=host.name
            )
        kind = answer.headers.get("content-type", "application/octet-stream")
        return Answer(answer.status, answer.body, kind)

    async def start(self, host: Host, epoch: int, start: TaskStart) -> None:
        """Start a task; see the base class."""
        body = msgspec.json.encode(start)
        answer = await self._ask(host, epoch, "PUT", "/tasks", body, CONTROL_TIME)
        _expect_ok(answer, host)

    async def control(self, host: Host, epoch: int, attempt: str, do: Control) -> None:
        """Control a task; see the base class."""
        target = f"/control/{do.value}"
        body = attempt.encode()
        answer = await self._ask(host, epoch, "POST", target, body, CONTROL_TIME)
        _expect_ok(answer, host)

    async def inventory(
        self, host: Host, epoch: int, acked: list[str], wait: float, renew: bool
    ) -> Inventory:
        """Report all tasks; see the base class."""
        body = msgspec.json.encode(InventoryQuery(acked, wait, renew))
        limit = wait + CONTROL_TIME
        answer = await self._ask(host, epoch, "POST", "/inventory", body, limit)
        _expect_ok(answer, host)
        try:
            return msgspec.json.decode(answer.body, type=Inventory)
        except msgspec.MsgspecError as exc:
            raise OutcomeUnknownError(
                f"inventory: {exc}", step="inventory", peer=host.name
            ) from exc

    async def close(self) -> None:
        """Close every connection."""
        self.pool.close()

    async def _ask(
        self,
        host: Host,
        epoch: int,
        method: str,
        target: str,
        body: bytes,
        limit: float,
        attempt: str = "",
    ) -> HttpAnswer:
        headers = [(EPOCH_HEADER, str(epoch))]
        if attempt:
            headers.append((ATTEMPT_HEADER, attempt))
        answer = await self.pool.request(
            host.address,
            method,
            target,
            body=body,
            headers=tuple(headers),
            limit=limit,
        )
        if answer.status == STALE and EPOCH_HEADER in answer.headers:
            raise StaleEpochError("lower epoch", step=target, peer=host.name)
        return answer


def _expect_ok(answer: HttpAnswer, host: Host) -> None:
    if answer.status != OK:
        raise OutcomeUnknownError(
            f"status {answer.status}", step="upstream", peer=host.name
        )
