"""Runs the command line for `python -m runcourse`."""

import sys

from .cli import main

sys.exit(main())
