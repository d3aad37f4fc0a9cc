"""HTTP client of upstream hosts; ``docs/PLATFORM.md`` specifies the protocol."""

from __future__ import annotations

import msgspec

from siskinroad.cell import Host
from siskinroad.codec import DECODE_ERRORS
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
# Time limit of a start or control call, and of an inventory call beyond the time that
# the host may wait for a task to end.
CONTROL_TIMEOUT_S = 2.0
# With the epoch header in the response: the host has seen a higher epoch.
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
        self,
        host: Host,
        attempt: str,
        epoch: int,
        path: str,
        body: bytes,
        timeout: float,
    ) -> UpstreamResponse:
        """Send one request; see the base class."""
        response = await self._send_request(
            host, epoch, "POST", path, body, timeout, attempt
        )
        if response.headers.get(OUTCOME_HEADER) == NOT_RUN:
            raise Refusal(Reason.UPSTREAM_FAILED, step="upstream", peer=host.name)
        echoed = response.headers.get(ATTEMPT_HEADER, attempt)
        if echoed != attempt:
            raise OutcomeUnknownError(
                f"expected the response to this attempt, got that to {echoed}",
                step="upstream",
                peer=host.name,
            )
        content_type = response.headers.get("content-type", "application/octet-stream")
        return UpstreamResponse(response.status, response.body, content_type)

    async def start(self, host: Host, epoch: int, start: TaskStart) -> None:
        """Start a task; see the base class."""
        body = msgspec.json.encode(start)
        response = await self._send_request(
            host, epoch, "PUT", "/tasks", body, CONTROL_TIMEOUT_S
        )
        _expect_ok(response, host)

    async def control(
        self, host: Host, epoch: int, attempt: str, action: Control
    ) -> None:
        """Control a task; see the base class."""
        target = f"/control/{action.value}"
        body = attempt.encode()
        response = await self._send_request(
            host, epoch, "POST", target, body, CONTROL_TIMEOUT_S
        )
        _expect_ok(response, host)

    async def inventory(
        self, host: Host, epoch: int, acked: list[str], wait: float, renew: bool
    ) -> Inventory:
        """Return all tasks of a host; see the base class."""
        body = msgspec.json.encode(InventoryQuery(acked, wait, renew))
        timeout = wait + CONTROL_TIMEOUT_S
        response = await self._send_request(
            host, epoch, "POST", "/inventory", body, timeout
        )
        _expect_ok(response, host)
        try:
            return msgspec.json.decode(response.body, type=Inventory)
        except DECODE_ERRORS as exc:
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
        timeout: float,
        attempt: str = "",
    ) -> ClientResponse:
        headers = [(EPOCH_HEADER, str(epoch))]
        if attempt:
            headers.append((ATTEMPT_HEADER, attempt))
        response = await self.pool.request(
            host.address,
            method,
            target,
            body=body,
            headers=tuple(headers),
            timeout=timeout,
        )
        if response.status == STATUS_STALE_EPOCH and EPOCH_HEADER in response.headers:
            raise StaleEpochError(
                "host has seen a higher epoch",
                step=target,
                peer=host.name,
            )
        return response


def _expect_ok(response: ClientResponse, host: Host) -> None:
    if response.status != STATUS_OK:
        raise OutcomeUnknownError(
            f"expected status 200, got {response.status}",
            step="upstream",
            peer=host.name,
        )
