#!/usr/bin/env bash
# Builds what the cases 4 to 8 start. Their stand-ins are Python and need nothing built: this checks
# that all of it compiles and that the libraries are there which the deploy file's build installs.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/review/rig2:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1 python3 - <<'EOF'
import glob

import rig  # noqa: F401
import script  # noqa: F401

for name in glob.glob("review/[4-8]/story.py"):
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
EOF
