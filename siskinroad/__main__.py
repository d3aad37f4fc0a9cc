"""Run the command line with ``python -m siskinroad``."""

import sys

from siskinroad.cli import main

if __name__ == "__main__":
    sys.exit(main())
