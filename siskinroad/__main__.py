"""Where the program starts, by ``siskinroad`` or ``python -m siskinroad``."""

import sys

from siskinroad.slim import slim_imports

__all__ = ["main"]


def main() -> int:
    """Run the command line; a daemon keeps its memory small from the start."""
    if sys.argv[1:2] == ["entry"]:
        slim_imports()
    from siskinroad.cli import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
