"""JSON logging handlers, one of them bounded and non-blocking."""

from __future__ import annotations

import logging
import os
import select
import sys
from collections import deque
from typing import TextIO

__all__ = ["BoundedHandler", "setup_bounded_logs", "setup_logs"]

RECORD_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Sustained rate of the token bucket, in lines per second. It keeps a flood of records
# from using up the processor.
LINES_PER_SECOND = 400.0
# Size of the token bucket, in lines. It lets a burst of decisions be logged completely.
BURST_LINES = 2000.0
# Bytes buffered for a reader that has stopped reading; further lines are dropped.
MAX_PENDING_BYTES = 1 << 20
# Bytes per write: a pipe that polls as writable accepts this many without blocking.
PIPE_WRITE_BYTES = 4096


def _make_formatter(daemon: str) -> logging.Formatter:
    from pythonjsonlogger.json import JsonFormatter

    return JsonFormatter(
        RECORD_FORMAT,
        rename_fields={"asctime": "time", "levelname": "level", "name": "part"},
        static_fields={"daemon": daemon},
    )


class BoundedHandler(logging.Handler):
    """Log handler that writes to a descriptor only while that does not block.

    Lines that exceed the rate limit or the buffer are dropped and counted. The next
    line that is accepted carries the count in its field ``dropped_lines``.

    Attributes
    ----------
    dropped : int
        Number of lines dropped since the start.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.fd = fd
        self.dropped = 0
        self._pending_lines: deque[bytes] = deque()
        self._pending_bytes = 0
        self._tokens = BURST_LINES
        self._last_record_s = 0.0
        self._reported_drops = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a record and write what fits, or count the record as dropped."""
        if not self._consume_token(record) or self._is_full():
            self.dropped += 1
            return
        reported_drops = self.dropped
        if reported_drops > self._reported_drops:
            record.dropped_lines = reported_drops - self._reported_drops
        line = self.format(record).encode() + b"\n"
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
        else:
            self._reported_drops = reported_drops
            self._pending_lines.append(line)
            self._pending_bytes += len(line)
        self._write_pending()

    def _is_full(self) -> bool:
        """Return whether the buffer, after another write, takes no common line."""
        if self._pending_bytes + PIPE_WRITE_BYTES <= MAX_PENDING_BYTES:
            return False
        self._write_pending()
        return self._pending_bytes + PIPE_WRITE_BYTES > MAX_PENDING_BYTES

    def _consume_token(self, record: logging.LogRecord) -> bool:
        elapsed_s = max(0.0, record.created - self._last_record_s)
        self._last_record_s = record.created
        self._tokens = min(BURST_LINES, self._tokens + elapsed_s * LINES_PER_SECOND)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write_pending(self) -> None:
        while self._pending_lines and select.select([], [self.fd], [], 0)[1]:
            line = self._pending_lines.popleft()
            self._pending_bytes -= len(line)
            try:
                written = os.write(self.fd, line[:PIPE_WRITE_BYTES])
            except OSError:
                # A failed write to the log cannot be logged; only the counter shows it.
                self.dropped += 1
                return
            if written < len(line):
                self._pending_lines.appendleft(line[written:])
                self._pending_bytes += len(line) - written


def _install_handler(handler: logging.Handler, level: str, daemon: str) -> None:
    handler.setFormatter(_make_formatter(daemon))
    root = logging.getLogger("siskinroad")
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    root.propagate = False


def setup_logs(level: str, daemon: str, stream: TextIO | None = None) -> None:
    """Write the project's log records to a stream, one JSON object per line.

    Parameters
    ----------
    level : str
        Lowest severity that is written.
    daemon : str
        Name of this daemon, added to each record.
    """
    _install_handler(logging.StreamHandler(stream or sys.stderr), level, daemon)


def setup_bounded_logs(level: str, daemon: str, fd: int = 1) -> BoundedHandler:
    """Write the project's log records to a descriptor without blocking on it."""
    handler = BoundedHandler(fd)
    _install_handler(handler, level, daemon)
    return handler
