"""Sizes of values for the state service, which counts their JSON form."""

from __future__ import annotations

import json
from typing import Any

import msgspec


def json_size(value: Any) -> int:
    """Returns the size in bytes of a value in JSON, an upper bound of all ways of writing it.

    It counts blanks, and escapes for all characters beyond ASCII.
    """
    return len(json.dumps(msgspec.to_builtins(value)))
