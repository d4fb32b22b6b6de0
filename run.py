"""Runs the command line from a checkout, with the dependencies installed in target/deps."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.pycache_prefix = str(ROOT / "target" / "pycache")
sys.path.insert(0, str(ROOT / "target" / "deps"))
sys.path.insert(0, str(ROOT))

if __name__ == "__main__":
    from runcourse.cli import main

    sys.exit(main(sys.argv[1:]))
