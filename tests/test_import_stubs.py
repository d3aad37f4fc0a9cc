"""Imports of a daemon without the library modules that it never uses."""

import subprocess
import sys

CODE = """
import sys
from siskinroad.import_stubs import stub_unused_imports
stub_unused_imports()
import siskinroad.listeners
import hashlib
from siskinroad.metrics import Metrics
assert hashlib.sha256(b"x").hexdigest().startswith("2d711642")
metrics = Metrics()
metrics.refusals.labels("shed", "door").inc()
assert b'siskinroad_refusals_total{reason="shed",step="door"} 1.0' in metrics.render()
print(sorted({"ssl", "http.server", "wsgiref.simple_server"} & set(sys.modules)))
import ssl
assert ssl.SSLContext
"""


def test_daemon_modules_and_metrics_work_after_stub_unused_imports():
    """A library that needs a stubbed module must not fail later, nor must ``ssl``."""
    completed = subprocess.run(
        [sys.executable, "-c", CODE], capture_output=True, text=True, check=False
    )
    assert (completed.stdout.strip(), completed.stderr) == ("[]", "")
