"""JSON logs with a fixed prefix for each part, bounded and never blocking."""

from __future__ import annotations

import logging
import os
import select
import sys
from collections import deque
from typing import TextIO

__all__ = ["BoundedHandler", "setup_bounded_logs", "setup_logs"]

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Lines a second on the long run and at once, so that a burst of decisions is
# logged whole and a flood does not take the processor.
LINES_PER_SECOND = 400.0
LINES_AT_ONCE = 2000.0
# Bytes that wait for a reader that has stopped reading.
MAX_WAITING_BYTES = 1 << 20
# A pipe that is ready takes this many bytes without blocking.
CHUNK_BYTES = 4096


def _formatter(daemon: str) -> logging.Formatter:
    from pythonjsonlogger.json import JsonFormatter

    return JsonFormatter(
        FIELDS,
        rename_fields={"asctime": "time", "levelname": "level", "name": "part"},
        static_fields={"daemon": daemon},
    )


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor only while that does not block.

    Lines beyond the rate or the memory allowed are counted, and the count is
    written with the next line that fits.

    Attributes
    ----------
    dropped : int
        Lines left out since the start.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.fd = fd
        self.dropped = 0
        self._waiting: deque[bytes] = deque()
        self._bytes = 0
        self._tokens = LINES_AT_ONCE
        self._last = 0.0
        self._told = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        if not self._allowed(record):
            self.dropped += 1
            return
        if self.dropped > self._told:
            record.dropped_lines = self.dropped - self._told
            self._told = self.dropped
        line = self.format(record).encode() + b"\n"
        if self._bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
        else:
            self._waiting.append(line)
            self._bytes += len(line)
        self._write()

    def _allowed(self, record: logging.LogRecord) -> bool:
        passed = max(0.0, record.created - self._last)
        self._last = record.created
        self._tokens = min(LINES_AT_ONCE, self._tokens + passed * LINES_PER_SECOND)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write(self) -> None:
        while self._waiting and select.select([], [self.fd], [], 0)[1]:
            line = self._waiting.popleft()
            self._bytes -= len(line)
            try:
                written = os.write(self.fd, line[:CHUNK_BYTES])
            except OSError:
                # Nobody can be told that the place for telling is gone.
                self.dropped += 1
                return
            if written < len(line):
                self._waiting.appendleft(line[written:])
                self._bytes += len(line) - written


def _attach(handler: logging.Handler, level: str, daemon: str) -> None:
    handler.setFormatter(_formatter(daemon))
    root = logging.getLogger("siskinroad")
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    root.propagate = False


def setup_logs(level: str, daemon: str, stream: TextIO | None = None) -> None:
    """Send the project's records to a stream, one JSON object a line.

    Parameters
    ----------
    level : str
        Least severe level that is written.
    daemon : str
        Name of this daemon, added to each record.
    """
    _attach(logging.StreamHandler(stream or sys.stderr), level, daemon)


def setup_bounded_logs(level: str, daemon: str, fd: int = 1) -> BoundedHandler:
    """Send the project's records to a descriptor without ever blocking on it."""
    handler = BoundedHandler(fd)
    _attach(handler, level, daemon)
    return handler
