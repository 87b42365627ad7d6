"""``python -m soak``: see ``soak.cli``."""

import sys

from soak.cli import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
