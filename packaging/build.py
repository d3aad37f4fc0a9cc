"""Build the one-file program and measure it: ``python packaging/build.py``."""

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import zipfile
from importlib import metadata
from pathlib import Path

ROOT = Path(__file__).parent.parent
OUT = ROOT / "dist" / "siskinroad"
LIBRARIES = (
    "docopt-ng",
    "h11",
    "msgspec",
    "prometheus_client",
    "python-json-logger",
    "pyzmq",
)
SKIPPED = re.compile(r"(^|/)(tests|__pycache__|utils/.*\.h)(/|$)|\.(pyi|h|pxd|pyx|c)$")


def members():
    """Yield the name in the archive and the path of each file."""
    for name in LIBRARIES:
        for file in metadata.distribution(name).files or []:
            text = str(file)
            if ".." in text or ".dist-info" in text or SKIPPED.search(text):
                continue
            yield text, Path(str(file.locate()))
    for path in sorted((ROOT / "siskinroad").rglob("*")):
        if path.suffix in (".py", ".toml"):
            yield str(path.relative_to(ROOT)), path
    for path in sorted((ROOT / "examples").glob("*.toml")):
        yield f"siskinroad/examples/{path.name}", path


def build():
    """Write the program; return its size in bytes."""
    OUT.parent.mkdir(exist_ok=True)
    files = dict(members())
    natives = [name for name in files if ".so" in name]
    shared = sorted(
        (name for name in natives if ".libs/" in name),
        key=lambda name: "sodium" not in name,
    )
    with open(OUT, "wb") as file:
        file.write(b"#!/usr/bin/env python3\n")
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
            for name, path in sorted(files.items()):
                archive.writestr(zipfile.ZipInfo(name), path.read_bytes())
            archive.writestr("natives.txt", "\n".join(natives))
            archive.writestr("preload.txt", "\n".join(shared))
            archive.write(ROOT / "packaging" / "loader.py", "__main__.py")
    OUT.chmod(0o755)
    return OUT.stat().st_size


def measure():
    """Start the program as a daemon where nothing can be written; return figures."""
    sys.path.insert(0, str(ROOT))
    from siskinroad.cluster import free_addresses

    with tempfile.TemporaryDirectory() as folder:
        callers, operators, peers, nobody = free_addresses(4)
        settings = Path(folder) / "entry.toml"
        settings.write_text(
            f'name = "a"\ndata_centre = "d"\nregion = "r"\ncallers = "{callers}"\n'
            f'operators = "{operators}"\npeer_address = "{peers}"\n'
            f'platform = "{nobody}"\n'
        )
        os.chmod(folder, 0o500)
        began = time.perf_counter()
        proc = subprocess.Popen(
            [sys.executable, "-I", "-B", str(OUT), "entry", str(settings)],
            cwd=folder,
            env={"PATH": "", "TMPDIR": "/nonexistent"},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        _until_open(operators)
        ready = time.perf_counter() - began
        time.sleep(2.0)
        found = {
            "start seconds": round(ready, 2),
            "resident MB": round(_resident(proc.pid), 1),
            "child processes": len(_children(proc.pid)),
            "files open for writing": _written(proc.pid),
        }
        proc.send_signal(signal.SIGTERM)
        found["exit code"] = proc.wait(timeout=30)
        os.chmod(folder, 0o700)
    return found


def _until_open(address):
    import socket

    ip, _, port = address.partition(":")
    for _ in range(200):
        with socket.socket() as sock:
            if sock.connect_ex((ip, int(port))) == 0:
                return
        time.sleep(0.05)
    raise SystemExit("the program did not start")


def _resident(pid):
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024


def _children(pid):
    return Path(f"/proc/{pid}/task/{pid}/children").read_text().split()


def _written(pid):
    links = [os.readlink(link) for link in Path(f"/proc/{pid}/fd").iterdir()]
    return [
        x for x in links if x.startswith("/") and not x.startswith(("/memfd", "/dev"))
    ]


if __name__ == "__main__":
    size = build()
    print(json.dumps({"file MB": round(size / 1e6, 2), **measure()}, indent=1))
