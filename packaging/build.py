"""Build and measurement of the one-file program: ``python packaging/build.py``."""

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
OUTPUT_PATH = ROOT / "dist" / "siskinroad"
# Distributions that go into the archive
LIBRARIES = (
    "docopt-ng",
    "h11",
    "msgspec",
    "prometheus_client",
    "python-json-logger",
    "pyzmq",
)
# Files of these distributions that the program does not need at run time
EXCLUDED_FILES = re.compile(
    r"(^|/)(tests|__pycache__|utils/.*\.h)(/|$)|\.(pyi|h|pxd|pyx|c)$"
)


def list_archive_files():
    """Yield each file of the archive: its name there and its path on disk."""
    for name in LIBRARIES:
        for file in metadata.distribution(name).files or []:
            text = str(file)
            if ".." in text or ".dist-info" in text or EXCLUDED_FILES.search(text):
                continue
            yield text, Path(str(file.locate()))
    for path in sorted((ROOT / "siskinroad").rglob("*")):
        if path.suffix in (".py", ".toml"):
            yield str(path.relative_to(ROOT)), path
    for path in sorted((ROOT / "examples").glob("*.toml")):
        yield f"siskinroad/examples/{path.name}", path


def build_program():
    """Write the program as an executable archive; return its size in bytes."""
    OUTPUT_PATH.parent.mkdir(exist_ok=True)
    files = dict(list_archive_files())
    native_files = [name for name in files if ".so" in name]
    shared_libraries = sorted(
        (name for name in native_files if ".libs/" in name),
        key=lambda name: "sodium" not in name,
    )
    with open(OUTPUT_PATH, "wb") as file:
        file.write(b"#!/usr/bin/env python3\n")
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
            for name, path in sorted(files.items()):
                archive.writestr(zipfile.ZipInfo(name), path.read_bytes())
            archive.writestr("natives.txt", "\n".join(native_files))
            archive.writestr("preload.txt", "\n".join(shared_libraries))
            archive.write(ROOT / "packaging" / "loader.py", "__main__.py")
    OUTPUT_PATH.chmod(0o755)
    return OUTPUT_PATH.stat().st_size


def measure_program():
    """Run the program as a daemon in a read-only folder; return measurements.

    It gets no writable temporary folder, and nothing listens at its platform address.
    """
    sys.path.insert(0, str(ROOT))
    from siskinroad.cluster import free_addresses

    with tempfile.TemporaryDirectory() as folder:
        callers, operators, peers, unused_address = free_addresses(4)
        settings = Path(folder) / "entry.toml"
        settings.write_text(
            f'name = "a"\ndata_centre = "d"\nregion = "r"\ncallers = "{callers}"\n'
            f'operators = "{operators}"\npeer_address = "{peers}"\n'
            f'platform = "{unused_address}"\n'
        )
        os.chmod(folder, 0o500)
        start_time = time.perf_counter()
        process = subprocess.Popen(
            [sys.executable, "-I", "-B", str(OUTPUT_PATH), "entry", str(settings)],
            cwd=folder,
            env={"PATH": "", "TMPDIR": "/nonexistent"},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        _wait_until_open(operators)
        ready_s = time.perf_counter() - start_time
        time.sleep(2.0)
        measurements = {
            "start seconds": round(ready_s, 2),
            "resident MB": round(_read_resident_mb(process.pid), 1),
            "child processes": len(_list_child_processes(process.pid)),
            "files open for writing": _list_open_files(process.pid),
        }
        process.send_signal(signal.SIGTERM)
        measurements["exit code"] = process.wait(timeout=30)
        os.chmod(folder, 0o700)
    return measurements


def _wait_until_open(address):
    """Wait until an address accepts connections; exit with an error if it does not."""
    import socket

    ip, _, port = address.partition(":")
    for _ in range(200):
        with socket.socket() as sock:
            if sock.connect_ex((ip, int(port))) == 0:
                return
        time.sleep(0.05)
    raise SystemExit("the program did not listen on its operator address in 200 tries")


def _read_resident_mb(pid):
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024


def _list_child_processes(pid):
    return Path(f"/proc/{pid}/task/{pid}/children").read_text().split()


def _list_open_files(pid):
    """Return the open files of a process, apart from memory and device files."""
    links = [os.readlink(link) for link in Path(f"/proc/{pid}/fd").iterdir()]
    return [
        x for x in links if x.startswith("/") and not x.startswith(("/memfd", "/dev"))
    ]


if __name__ == "__main__":
    size = build_program()
    print(json.dumps({"file MB": round(size / 1e6, 2), **measure_program()}, indent=1))
