"""Lets ``python -m sedgepin`` do what the ``sedgepin`` command does."""

import sys

from sedgepin import cli

if __name__ == "__main__":
    sys.exit(cli.main())
