"""Start-up imports without the library modules that the daemon never uses.

``asyncio`` imports TLS, ``hashlib`` imports OpenSSL, and ``prometheus_client`` imports
a web server for its own listener. The daemon speaks no TLS, hashes with the
interpreter's built-in code, and serves ``/metrics`` from its own listener. Call
``stub_unused_imports`` before anything else is imported.
"""

from __future__ import annotations

import sys
import types

__all__ = ["stub_unused_imports"]

# Modules whose import fails while asyncio and hashlib are imported; both work without
# them.
BLOCKED_MODULES = ("ssl", "_ssl", "_hashlib")
# Modules replaced by stubs while prometheus_client, which requires them, is imported.
STUBBED_MODULES = (
    "ssl",
    "http.server",
    "socketserver",
    "urllib.request",
    "wsgiref.simple_server",
)


class _StubModule(types.ModuleType):
    """Stub module in which every public name is an empty class."""

    def __getattr__(self, name: str) -> type:
        if name.startswith("__"):
            raise AttributeError(name)
        return type(name, (), {})


def stub_unused_imports() -> None:
    """Import asyncio, hashlib and prometheus_client without their unused dependencies.

    Do nothing if asyncio or prometheus_client has already been imported.
    """
    if "asyncio" in sys.modules or "prometheus_client" in sys.modules:
        return
    for name in BLOCKED_MODULES:
        sys.modules[name] = None  # type: ignore[assignment]
    import asyncio  # noqa: F401
    import hashlib  # noqa: F401

    previous_modules = {name: sys.modules.get(name) for name in STUBBED_MODULES}
    for name in STUBBED_MODULES:
        sys.modules[name] = _StubModule(name)
    import prometheus_client  # noqa: F401

    for name, module in previous_modules.items():
        if module is None:
            sys.modules.pop(name, None)
        else:
            sys.modules[name] = module
    for name in BLOCKED_MODULES:
        sys.modules.pop(name, None)
