"""The platform over HTTP, as ``docs/PLATFORM.md`` states it."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from siskinroad.errors import (
    LogTrimmedError,
    NotSentError,
    OutcomeUnknownError,
    PlatformError,
)
from siskinroad.http_client import HttpAnswer, HttpPool
from siskinroad.platform import HostList, LogPage, Platform

__all__ = ["HttpPlatform"]

_T = TypeVar("_T")

REQUEST_TIME = 3.0
OK = 200
TRIMMED = 410


class _Appended(msgspec.Struct):
    offset: int


class _Trimmed(msgspec.Struct):
    first: int


class HttpPlatform(Platform):
    """A client of the platform's service at one address."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.pool = HttpPool()

    async def append(self, stream: str, data: bytes) -> int:
        """Append one record; see the base class."""
        answer = await self._ask("POST", f"/log/{stream}", data, "append")
        return _decode(answer, _Appended, "append").offset

    async def read(self, stream: str, start: int, limit: int) -> LogPage:
        """Read records; see the base class."""
        target = f"/log/{stream}?from={start}&limit={limit}"
        answer = await self._ask("GET", target, b"", "read")
        if answer.status == TRIMMED:
            first = _decode(answer, _Trimmed, "read").first
            raise LogTrimmedError(first, peer=self.address)
        return _decode(answer, LogPage, "read")

    async def hosts(self, data_centre: str, known: str) -> HostList:
        """Return the list; see the base class."""
        target = f"/hosts/{data_centre}?known={known}"
        answer = await self._ask("GET", target, b"", "hosts")
        return _decode(answer, HostList, "hosts")

    async def close(self) -> None:
        """Close every connection."""
        self.pool.close()

    async def _ask(
        self, method: str, target: str, body: bytes, step: str
    ) -> HttpAnswer:
        try:
            answer = await self.pool.request(
                self.address, method, target, body=body, limit=REQUEST_TIME
            )
        except (NotSentError, OutcomeUnknownError) as exc:
            raise PlatformError(
                exc.message, step=f"platform.{step}", peer=self.address
            ) from exc
        if answer.status not in (OK, TRIMMED):
            raise PlatformError(
                f"status {answer.status}", step=f"platform.{step}", peer=self.address
            )
        return answer


def _decode(answer: HttpAnswer, kind: type[_T], step: str) -> _T:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as exc:
        raise PlatformError(f"answer: {exc}", step=f"platform.{step}") from exc
