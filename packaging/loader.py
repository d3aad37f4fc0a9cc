"""Entry point of the one-file program, which loads extension modules from memory.

The program is a zip archive from which the interpreter imports. Extension modules
cannot be mapped from an archive, so each is copied into an anonymous file in memory
first. Nothing is written to disk and no process is started.
"""

import os
import sys
from importlib.machinery import ExtensionFileLoader, ModuleSpec

# File name endings of extension modules, tried in this order
SUFFIXES = (".cpython-311-x86_64-linux-gnu.so", ".abi3.so", ".so")
RTLD_GLOBAL_NOW = os.RTLD_GLOBAL | os.RTLD_NOW


class MemoryFinder:
    """Finder for the extension modules in the archive."""

    def __init__(self, archive, names):
        self.archive = archive
        self.names = names

    def find_spec(self, fullname, path=None, target=None):
        """Return the spec of an extension module in the archive, or None."""
        base = fullname.replace(".", "/")
        for suffix in SUFFIXES:
            if base + suffix in self.names:
                memory_path = self.copy_to_memory(base + suffix)
                loader = ExtensionFileLoader(fullname, memory_path)
                return ModuleSpec(fullname, loader, origin=memory_path)
        return None

    def copy_to_memory(self, name):
        """Copy a file of the archive into memory; return a path that can be mapped."""
        fd = os.memfd_create(name.rpartition("/")[2])
        with open(fd, "wb", closefd=False) as file:
            file.write(self.archive.get_data(name))
        return f"/proc/self/fd/{fd}"

    def preload_libraries(self, names):
        """Load the shared libraries to which extension modules are linked."""
        import _ctypes

        for name in names:
            _ctypes.dlopen(self.copy_to_memory(name), RTLD_GLOBAL_NOW)


def run_program():
    """Install the finder, load the shared libraries and run the program."""
    archive = __loader__
    names = set(archive.get_data("natives.txt").decode().split())
    finder = MemoryFinder(archive, names)
    sys.meta_path.insert(0, finder)
    finder.preload_libraries(archive.get_data("preload.txt").decode().split())
    from siskinroad.__main__ import main

    sys.exit(main())


run_program()
