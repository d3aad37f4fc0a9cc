"""Stand-ins of the store and of executors with a listener for each daemon."""

from __future__ import annotations

import base64
import time
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from bench.cut_links import AddressBook, Cuts
from bench.run_check import TOKENS_PER_TERM, Event, EventKind
from review.common.executor import Executor
from review.common.http1 import HttpStandIn
from review.common.store import Store

__all__ = ["LIST_TOPIC", "STORE", "CutExecutor", "CutStore"]

# Name of the store among the ends of the links.
STORE = "store"
LIST_TOPIC = "keyed.servers"

Answer = tuple[int, Any] | None


class CutStore(Store):
    """A store that leaves the calls of a daemon that is cut off without an answer."""

    def __init__(self, cuts: Cuts, book: AddressBook) -> None:
        super().__init__()
        self.doors: dict[str, HttpStandIn] = {}
        # Daemons whose reads of the list of executors are answered even if cut off.
        self.list_readers: set[str] = set()
        self._cuts, self._book = cuts, book

    async def open_door(self, daemon: str, ip: str) -> str:
        """Listen for one daemon; return the address."""
        door = self.doors[daemon] = HttpStandIn(partial(self._handle_from, daemon))
        return await door.listen(ip)

    def close(self) -> None:
        """Reset every connection and refuse new ones."""
        for door in self.doors.values():
            door.crash()

    async def _handle_from(
        self, daemon: str, method: str, target: str, headers: dict, body: bytes
    ) -> Answer:
        if self._is_silent(daemon, target):
            return None
        body = self._book.translate(body, daemon, "")
        status, data = await self.handle(method, target, headers, body)
        if self._is_silent(daemon, target):
            return None
        return status, self._localize(data, daemon)

    def _is_silent(self, daemon: str, target: str) -> bool:
        if daemon in self.list_readers and f"topic={LIST_TOPIC}&" in target:
            return False
        return self._cuts.is_cut(daemon, STORE)

    def _localize(self, data: Any, daemon: str) -> Any:
        if isinstance(data, bytes):
            return self._book.translate(data, "", daemon)
        for item in data.get("items", ()):
            value = base64.b64decode(item["value"])
            value = self._book.translate(value, "", daemon)
            item["value"] = base64.b64encode(value).decode()
        return data


class CutExecutor(Executor):
    """An executor that leaves the calls of a daemon that is cut off without an answer.

    Parameters
    ----------
    note : callable
        Called with each event that the executor records.
    began : float
        Monotonic time of the start of the trial.
    """

    def __init__(
        self,
        *args: Any,
        cuts: Cuts,
        note: Callable[[Event], None],
        began: float,
        **fields: Any,
    ) -> None:
        self.cuts, self.note, self.began = cuts, note, began
        self.doors: dict[str, HttpStandIn] = {}
        self._door_addresses: dict[str, str] = {}
        self._caller, self._caller_token = "", 0
        # Newest token that was obeyed, and the daemon that has sent it.
        self.holder = (0, "")
        super().__init__(*args, **fields)

    def _reset(self) -> None:
        super()._reset()
        self._has_lapsed = True
        self.holder = (0, "")

    def _emit(self, kind: EventKind, at: float | None = None, **fields: Any) -> None:
        at = time.monotonic() if at is None else at
        self.note(Event(round(at - self.began, 4), kind, self.name, **fields))

    def _emit_call(self, kind: EventKind, data: dict[str, Any]) -> None:
        self._emit(
            kind,
            task=data.get("task", ""),
            run=data.get("attempt", 0),
            daemon=self._caller,
            token=data["fencing_token"],
        )

    # Listeners

    async def open_doors(self, daemons: Iterable[str]) -> dict[str, str]:
        """Listen for each daemon; return the addresses."""
        for daemon in daemons:
            door = self.doors[daemon] = HttpStandIn(partial(self._handle_from, daemon))
            self._door_addresses[daemon] = await door.listen(self.ip)
        return self._door_addresses

    def close(self) -> None:
        """Reset every connection and refuse new ones."""
        self.http.crash()
        for door in self.doors.values():
            door.crash()

    def crash(self, *, is_silent: bool = False) -> None:
        """Lose everything; refuse connections, or leave them without any answer."""
        super().crash()
        self._emit(EventKind.CRASH, how="silent" if is_silent else "refuses")
        if not is_silent:
            self.close()

    async def restart(self, register_after_s: float = 0.0) -> None:
        """Start again under the same id and address, knowing nothing of before."""
        for daemon, door in self.doors.items():
            await door.listen(self.ip, int(self._door_addresses[daemon].split(":")[1]))
        self._emit(EventKind.RESTART)
        await super().restart(register_after_s)

    def register(self) -> None:
        """Write the entry in the store, unless the store is out of reach."""
        if not self.cuts.is_cut(self.name, STORE):
            super().register()

    # Calls

    async def _handle_from(
        self, daemon: str, method: str, target: str, headers: dict, body: bytes
    ) -> Answer:
        if not self.is_up or self.cuts.is_cut(daemon, self.name):
            return None
        self._note_lapse()
        self._caller = daemon
        answer = await self.handle(method, target, headers, body)
        if not self.is_up or self.cuts.is_cut(daemon, self.name):
            return None
        return answer

    async def handle(
        self, method: str, target: str, headers: dict, body: bytes
    ) -> Answer:
        """Answer one call of a daemon."""
        caller = self._caller
        status, fields = await super().handle(method, target, headers, body)
        if fields.get("reason") == "fence":
            self._emit(EventKind.FENCED, daemon=caller, token=self.token)
        return status, fields

    def _note_lapse(self) -> None:
        if not self._has_lapsed and self.clock_ms() >= self.lease_until:
            self._has_lapsed = True
            self._emit(EventKind.LAPSE, self.zero + (self.lease_until - 1000) / 1000)

    def _extend(self, deadline_ms: int) -> None:
        super()._extend(deadline_ms)
        self._has_lapsed = self.clock_ms() >= self.lease_until

    def _note_order(self, data: dict[str, Any]) -> None:
        token = data["fencing_token"]
        if token // TOKENS_PER_TERM != self.holder[0] // TOKENS_PER_TERM:
            self._emit_call(EventKind.TERM, {"fencing_token": token})
        self.holder = token, self._caller

    def _start(self, data: dict[str, Any]) -> Answer:
        self._note_order(data)
        count = len(self.starts)
        answer = super()._start(data)
        if len(self.starts) > count:
            self._emit_call(EventKind.START, data)
        return answer

    def _stop(self, data: dict[str, Any]) -> Answer:
        self._note_order(data)
        self._emit_call(EventKind.STOP, data)
        return super()._stop(data)

    def _end(self, run: Any, how: str) -> None:
        self._note_lapse()
        super()._end(run, how)
        self._emit(EventKind.END, task=run.task, run=run.attempt, how=how)

    async def _hold(self, data: dict[str, Any]) -> Answer:
        self._note_order(data)
        for end in self.ends:
            if end[0] <= data["ack_cursor"]:
                fields = {**data, "task": end[1], "attempt": end[2]}
                self._emit_call(EventKind.ACK, fields)
        return await super()._hold(data)
