"""Errors that end a command with a line for its user."""

from __future__ import annotations

from pathlib import Path

import msgspec


class SettingsError(Exception):
    """A faulty settings file; the message names file, field and reason."""


def settings_fault(path: Path, problem: msgspec.ValidationError, prefix: str = "") -> SettingsError:
    """The error for a value that does not fit its description."""
    text = str(problem)
    reason, _, place = text.partition(" - at `$")
    field = ".".join(part for part in (prefix, place.rstrip("`").lstrip(".")) if part)
    return SettingsError(f"{path}: {field or 'settings'}: {reason}")
