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


class CountingFormatter(logging.Formatter):
    """Formatter that counts the records it formats."""

    count = 0

    def format(self, record):
        self.count += 1
        return super().format(record)


def test_lines_are_not_formatted_while_the_buffer_is_full():
    """The work for a line that is dropped anyway would slow a late daemon down."""
    read, write = os.pipe()
    handler = logs.BoundedHandler(write)
    formatter = CountingFormatter()
    handler.setFormatter(formatter)
    for i in range(int(logs.BURST_LINES)):
        handler.emit(make_record("x" * 2000, 1000.0 + i))
    formatted = formatter.count
    for i in range(100):
        handler.emit(make_record("x" * 2000, 9000.0 + i))
    assert formatter.count == formatted
    assert handler.dropped == int(logs.BURST_LINES) + 100 - formatted
    os.set_blocking(read, False)
    read_available(read)
    handler.emit(make_record("last", 9999.0))
    assert formatter.count > formatted
    os.close(read)
    os.close(write)


def test_all_dropped_lines_are_reported_once_the_reader_reads_again():
    """A count that a dropped line took with it would be missing from the sum."""
    read, write = os.pipe()
    os.set_blocking(read, False)
    handler = make_handler(write)
    for i in range(int(logs.BURST_LINES)):
        handler.emit(make_record("x" * 5000, 1000.0 + i))
    dropped = handler.dropped
    assert dropped > 1
    data = b""
    for second in range(2 * logs.MAX_PENDING_BYTES // 65536):
        data += read_available(read)
        handler.emit(make_record("more", 9999.0 + second))
    while chunk := read_available(read):
        data += chunk
        handler._write_pending()
    lines = [json.loads(line) for line in data.splitlines()]
    assert sum(line.get("dropped_lines", 0) for line in lines) == handler.dropped
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
