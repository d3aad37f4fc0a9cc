"""Program entry point, for ``siskinroad`` and ``python -m siskinroad``."""

import sys

from siskinroad.import_stubs import stub_unused_imports

__all__ = ["main"]


def main() -> int:
    """Run the command line and return its exit code.

    For a daemon, first import the libraries without the modules that it never uses,
    which saves memory.
    """
    if sys.argv[1:2] == ["entry"]:
        stub_unused_imports()
    from siskinroad.cli import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
