"""How large a value is for the state service, which counts it in its JSON form."""

from __future__ import annotations

import json
from typing import Any

import msgspec


def json_size(value: Any) -> int:
    """No less than what any way of writing JSON takes: blanks, and escapes for all but ASCII."""
    return len(json.dumps(msgspec.to_builtins(value)))
