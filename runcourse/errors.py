"""Errors that end a command with one line on standard error."""

from __future__ import annotations

from pathlib import Path

import msgspec


class SettingsError(Exception):
    """A settings file is invalid; the message names the file, the field and the reason."""


def invalid_settings(
    path: Path, problem: msgspec.ValidationError, prefix: str = ""
) -> SettingsError:
    """Returns the error for a value that failed validation; `prefix` precedes the field's path."""
    text = str(problem)
    reason, _, location = text.partition(" - at `$")
    field = ".".join(part for part in (prefix, location.rstrip("`").lstrip(".")) if part)
    return SettingsError(f"{path}: {field or 'settings'}: {reason}")
