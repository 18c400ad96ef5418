"""Runs the ``sedgepin`` command as ``python -m sedgepin``."""

import sys

from sedgepin import cli

if __name__ == "__main__":
    sys.exit(cli.main())
