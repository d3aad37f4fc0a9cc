"""The bounded log handler: rate limit, buffer limit and non-blocking writes."""

import json
import logging
import os

from siskinroad import logs


def make_handler(fd):
    handler = logs.BoundedHandler(fd)
    handler.setFormatter(logs._make_formatter("d"))
    return handler


def make_record(text, created=1000.0):
    record = logging.LogRecord("siskinroad.x", logging.INFO, "", 0, text, (), None)
    record.created = created
    return record


def test_stalled_reader_does_not_block_the_writer():
    """A full pipe would block a plain write, and with it the event loop."""
    read, write = os.pipe()
    handler = make_handler(write)
    for i in range(int(logs.BURST_LINES)):
        handler.emit(make_record("x" * 2000, 1000.0 + i))
    assert handler._pending_bytes <= logs.MAX_PENDING_BYTES
    assert handler.dropped > 0
    os.close(read)
    os.close(write)


def test_lines_beyond_the_rate_limit_are_dropped_and_counted():
    """A flood of records must not use up the processor, nor be lost unnoticed."""
    read, write = os.pipe()
    handler = make_handler(write)
    count = int(logs.BURST_LINES) + 50
    for _ in range(count):
        handler.emit(make_record("x"))
        if handler._pending_lines:
            os.read(read, 65536)
    assert handler.dropped == 50
    handler.emit(make_record("later", 1001.0))
    os.set_blocking(read, False)
    data = b""
    while chunk := read_available(read):
        data += chunk
    last = json.loads(data.splitlines()[-1])
    assert last["message"] == "later" and last["dropped_lines"] == 50
    os.close(read)
    os.close(write)


def read_available(fd):
    try:
        return os.read(fd, 65536)
    except BlockingIOError:
        return b""
