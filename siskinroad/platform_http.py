"""HTTP client of the platform; ``docs/PLATFORM.md`` specifies the protocol."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from siskinroad.codec import DECODE_ERRORS
from siskinroad.errors import (
    LogTrimmedError,
    NotSentError,
    OutcomeUnknownError,
    PlatformError,
)
from siskinroad.http_client import ClientResponse, HttpPool
from siskinroad.platform import HostList, LogPage, Platform

__all__ = ["HttpPlatform"]

_T = TypeVar("_T")

# Time limit of one request to the platform.
REQUEST_TIMEOUT_S = 3.0
STATUS_OK = 200
# Status of a read whose start offset is no longer retained.
STATUS_TRIMMED = 410


class _AppendReply(msgspec.Struct):
    offset: int


class _TrimmedReply(msgspec.Struct):
    first: int


class HttpPlatform(Platform):
    """Client of the platform's HTTP service at one address."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.pool = HttpPool()

    async def append(self, stream: str, data: bytes) -> int:
        """Append one record; see the base class."""
        response = await self._request("POST", f"/log/{stream}", data, "append")
        return _decode_body(response, _AppendReply, "append").offset

    async def read(self, stream: str, start: int, limit: int) -> LogPage:
        """Read records; see the base class."""
        target = f"/log/{stream}?from={start}&limit={limit}"
        response = await self._request("GET", target, b"", "read")
        if response.status == STATUS_TRIMMED:
            first = _decode_body(response, _TrimmedReply, "read").first
            raise LogTrimmedError(first, peer=self.address)
        return _decode_body(response, LogPage, "read")

    async def hosts(self, data_centre: str, known: str) -> HostList:
        """Return the host list; see the base class."""
        target = f"/hosts/{data_centre}?known={known}"
        response = await self._request("GET", target, b"", "hosts")
        return _decode_body(response, HostList, "hosts")

    async def close(self) -> None:
        """Close all connections."""
        self.pool.close()

    async def _request(
        self, method: str, target: str, body: bytes, step: str
    ) -> ClientResponse:
        try:
            response = await self.pool.request(
                self.address, method, target, body=body, timeout=REQUEST_TIMEOUT_S
            )
        except (NotSentError, OutcomeUnknownError) as exc:
            raise PlatformError(
                exc.message, step=f"platform.{step}", peer=self.address
            ) from exc
        if response.status not in (STATUS_OK, STATUS_TRIMMED):
            raise PlatformError(
                f"expected status 200 or 410, got {response.status}",
                step=f"platform.{step}",
                peer=self.address,
            )
        return response


def _decode_body(response: ClientResponse, reply_type: type[_T], step: str) -> _T:
    try:
        return msgspec.json.decode(response.body, type=reply_type)
    except DECODE_ERRORS as exc:
        raise PlatformError(
            f"reply cannot be decoded: {exc}", step=f"platform.{step}"
        ) from exc
