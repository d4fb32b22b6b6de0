"""Runs the command line with `python -m runcourse`."""

import sys

from .cli import main

sys.exit(main())
