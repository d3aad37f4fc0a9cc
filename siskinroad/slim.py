"""Keeps out of memory what the daemon's libraries import but it never uses.

``asyncio`` imports TLS, ``hashlib`` the OpenSSL library, and
``prometheus_client`` a web server for a listener of its own. The daemon speaks
no TLS, hashes with the interpreter's own code, and serves ``/metrics`` from its
own listener. Call ``slim_imports`` before anything else is imported.
"""

from __future__ import annotations

import sys
import types

__all__ = ["slim_imports"]

ABSENT = ("ssl", "_ssl", "_hashlib")
PLACEHOLDERS = (
    "ssl",
    "http.server",
    "socketserver",
    "urllib.request",
    "wsgiref.simple_server",
)


class _Placeholder(types.ModuleType):
    """A module in which every name is an empty class."""

    def __getattr__(self, name: str) -> type:
        if name.startswith("__"):
            raise AttributeError(name)
        return type(name, (), {})


def slim_imports() -> None:
    """Import the event loop and the metrics without what they do not need here.

    Does nothing if they were imported already.
    """
    if "asyncio" in sys.modules or "prometheus_client" in sys.modules:
        return
    for name in ABSENT:
        sys.modules[name] = None  # type: ignore[assignment]
    import asyncio  # noqa: F401
    import hashlib  # noqa: F401

    before = {name: sys.modules.get(name) for name in PLACEHOLDERS}
    for name in PLACEHOLDERS:
        sys.modules[name] = _Placeholder(name)
    import prometheus_client  # noqa: F401

    for name, module in before.items():
        if module is None:
            sys.modules.pop(name, None)
        else:
            sys.modules[name] = module
    for name in ABSENT:
        sys.modules.pop(name, None)
