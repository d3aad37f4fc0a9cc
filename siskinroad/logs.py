"""JSON logs with a fixed prefix for each part."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

__all__ = ["setup_logs"]

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def setup_logs(level: str, daemon: str, stream: TextIO | None = None) -> None:
    """Send the project's records to a stream, one JSON object a line.

    Parameters
    ----------
    level : str
        Least severe level that is written.
    daemon : str
        Name of this daemon, added to each record.
    """
    from pythonjsonlogger.json import JsonFormatter

    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            FIELDS,
            rename_fields={"asctime": "time", "levelname": "level", "name": "part"},
            static_fields={"daemon": daemon},
        )
    )
    root = logging.getLogger("siskinroad")
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    root.propagate = False
