"""HTTP client of upstream hosts; ``docs/PLATFORM.md`` specifies the protocol."""

from __future__ import annotations

import msgspec

from siskinroad.cell import Host
from siskinroad.errors import (
    OutcomeUnknownError,
    Reason,
    Refusal,
    StaleEpochError,
)
from siskinroad.http_client import ClientResponse, HttpPool
from siskinroad.upstreams import (
    Control,
    Inventory,
    TaskStart,
    UpstreamClient,
    UpstreamResponse,
)

__all__ = [
    "ATTEMPT_HEADER",
    "EPOCH_HEADER",
    "OUTCOME_HEADER",
    "HttpUpstreamClient",
    "InventoryQuery",
]

ATTEMPT_HEADER = "siskinroad-attempt"
EPOCH_HEADER = "siskinroad-epoch"
OUTCOME_HEADER = "siskinroad-outcome"
NOT_RUN = "not run"
# Time limit, in seconds, of a start or control call, and of an inventory call beyond
# the time that the host may wait for a task to end.
CONTROL_TIMEOUT = 2.0
# Sent with the epoch header: the host has seen a higher epoch.
STATUS_STALE_EPOCH = 412
STATUS_OK = 200


class InventoryQuery(msgspec.Struct, frozen=True):
    """Body of an inventory request."""

    acked: list[str]
    wait: float
    renew: bool


class HttpUpstreamClient(UpstreamClient):
    """Client of all upstream hosts of the cell."""

    def __init__(self) -> None:
        self.pool = HttpPool()

    async def request(
        self, host: Host, attempt: str, epoch: int, path: str, body: bytes, limit: float
    ) -> UpstreamResponse:
        """Send one request; see the base class."""
        answer = await self._send_request(
            host, epoch, "POST", path, body, limit, attempt
        )
        if answer.headers.get(OUTCOME_HEADER) == NOT_RUN:
            raise Refusal(Reason.UPSTREAM_FAILED, step="upstream", peer=host.name)
        echoed = answer.headers.get(ATTEMPT_HEADER, attempt)
        if echoed != attempt:
            raise OutcomeUnknownError(
                f"got the response to another attempt: {echoed}",
                step="upstream",
                peer=host.name,
            )
        kind = answer.headers.get("content-type", "application/octet-stream")
        return UpstreamResponse(answer.status, answer.body, kind)

    async def start(self, host: Host, epoch: int, start: TaskStart) -> None:
        """Start a task; see the base class."""
        body = msgspec.json.encode(start)
        answer = await self._send_request(
            host, epoch, "PUT", "/tasks", body, CONTROL_TIMEOUT
        )
        _expect_ok(answer, host)

    async def control(self, host: Host, epoch: int, attempt: str, do: Control) -> None:
        """Control a task; see the base class."""
        target = f"/control/{do.value}"
        body = attempt.encode()
        answer = await self._send_request(
            host, epoch, "POST", target, body, CONTROL_TIMEOUT
        )
        _expect_ok(answer, host)

    async def inventory(
        self, host: Host, epoch: int, acked: list[str], wait: float, renew: bool
    ) -> Inventory:
        """Return all tasks of a host; see the base class."""
        body = msgspec.json.encode(InventoryQuery(acked, wait, renew))
        limit = wait + CONTROL_TIMEOUT
        answer = await self._send_request(
            host, epoch, "POST", "/inventory", body, limit
        )
        _expect_ok(answer, host)
        try:
            return msgspec.json.decode(answer.body, type=Inventory)
        except msgspec.MsgspecError as exc:
            raise OutcomeUnknownError(
                f"inventory cannot be decoded: {exc}", step="inventory", peer=host.name
            ) from exc

    async def close(self) -> None:
        """Close all connections."""
        self.pool.close()

    async def _send_request(
        self,
        host: Host,
        epoch: int,
        method: str,
        target: str,
        body: bytes,
        limit: float,
        attempt: str = "",
    ) -> ClientResponse:
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
        if answer.status == STATUS_STALE_EPOCH and EPOCH_HEADER in answer.headers:
            raise StaleEpochError(
                "host has seen a higher epoch",
                step=target,
                peer=host.name,
            )
        return answer


def _expect_ok(answer: ClientResponse, host: Host) -> None:
    if answer.status != STATUS_OK:
        raise OutcomeUnknownError(
            f"expected status 200, got {answer.status}",
            step="upstream",
            peer=host.name,
        )
