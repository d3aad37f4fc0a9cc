"""Start of the one-file program: native modules are loaded from memory.

The file is a zip archive that the interpreter imports from. Its extension modules
cannot be mapped from an archive, so each is copied into an anonymous file in
memory. Nothing is written to a disk and no process is started.
"""

import os
import sys
from importlib.machinery import ExtensionFileLoader, ModuleSpec

SUFFIXES = (".cpython-311-x86_64-linux-gnu.so", ".abi3.so", ".so")
RTLD_GLOBAL_NOW = os.RTLD_GLOBAL | os.RTLD_NOW


class MemoryFinder:
    """Finds the archive's extension modules."""

    def __init__(self, archive, names):
        self.archive = archive
        self.names = names

    def find_spec(self, fullname, path=None, target=None):
        """Return the spec of an extension module of the archive, or None."""
        base = fullname.replace(".", "/")
        for suffix in SUFFIXES:
            if base + suffix in self.names:
                place = self.to_memory(base + suffix)
                loader = ExtensionFileLoader(fullname, place)
                return ModuleSpec(fullname, loader, origin=place)
        return None

    def to_memory(self, name):
        """Copy one member into memory and return a path that can be mapped."""
        fd = os.memfd_create(name.rpartition("/")[2])
        with open(fd, "wb", closefd=False) as file:
            file.write(self.archive.get_data(name))
        return f"/proc/self/fd/{fd}"

    def preload(self, names):
        """Load shared libraries that extension modules need by name."""
        import _ctypes

        for name in names:
            _ctypes.dlopen(self.to_memory(name), RTLD_GLOBAL_NOW)


def start():
    """Install the finder, then run the program."""
    archive = __loader__
    names = set(archive.get_data("natives.txt").decode().split())
    finder = MemoryFinder(archive, names)
    sys.meta_path.insert(0, finder)
    finder.preload(archive.get_data("preload.txt").decode().split())
    from siskinroad.__main__ import main

    sys.exit(main())


start()
