"""Lines that are bounded in rate and memory and never block the loop."""

import json
import logging
import os

from siskinroad import logs


def make(fd):
    handler = logs.BoundedHandler(fd)
    handler.setFormatter(logs._formatter("d"))
    return handler


def record(text, created=1000.0):
    made = logging.LogRecord("siskinroad.x", logging.INFO, "", 0, text, (), None)
    made.created = created
    return made


def test_a_reader_that_stops_reading_never_blocks_the_writer():
    read, write = os.pipe()
    handler = make(write)
    for i in range(int(logs.LINES_AT_ONCE)):
        handler.emit(record("x" * 2000, 1000.0 + i))
    assert handler._bytes <= logs.MAX_WAITING_BYTES
    assert handler.dropped > 0
    os.close(read)
    os.close(write)


def test_a_flood_is_cut_and_counted():
    read, write = os.pipe()
    handler = make(write)
    count = int(logs.LINES_AT_ONCE) + 50
    for _ in range(count):
        handler.emit(record("x"))
        if handler._waiting:
            os.read(read, 65536)
    assert handler.dropped == 50
    handler.emit(record("later", 1001.0))
    os.set_blocking(read, False)
    data = b""
    while chunk := _read(read):
        data += chunk
    last = json.loads(data.splitlines()[-1])
    assert last["message"] == "later" and last["dropped_lines"] == 50
    os.close(read)
    os.close(write)


def _read(fd):
    try:
        return os.read(fd, 65536)
    except BlockingIOError:
        return b""
