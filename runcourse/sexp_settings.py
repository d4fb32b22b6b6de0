"""Reads settings files that are S-expressions of the form `(head (name value) ...)`.

Each error is one line that names the file, the field and the reason.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import msgspec
import sexpdata

from .errors import SettingsError, invalid_settings

Entry = list[Any]
StructT = TypeVar("StructT", bound=msgspec.Struct)


def read_entries(path: Path, head: str) -> list[Entry]:
    """Returns the entries of the file's only expression, which must begin with `head`.

    Raises `SettingsError`.
    """
    try:
        parsed = sexpdata.loads(  # type: ignore[no-untyped-call]
            path.read_text(encoding="utf-8")
        )
    except OSError as problem:
        raise SettingsError(f"{path}: file: {problem.strerror}") from problem
    except Exception as problem:  # the errors of sexpdata share no base class
        raise SettingsError(f"{path}: file: not an S-expression: {problem}") from problem
    if not isinstance(parsed, list) or not parsed or str(parsed[0]) != head:
        raise SettingsError(f"{path}: file: expected ({head} (name value) ...)")
    entries = parsed[1:]
    for entry in entries:
        if not isinstance(entry, list) or len(entry) < 2:
            raise SettingsError(f"{path}: {entry}: expected (name value)")
    return entries


def to_struct(
    path: Path,
    entries: list[Entry],
    kind: type[StructT],
    place: str = "",
    lists: tuple[str, ...] = (),
) -> StructT:
    """Converts entries to a struct; the fields named in `lists` take any number of values.

    `place` is the path of the entries in the file, for errors. Raises `SettingsError`.
    """
    raw: dict[str, Any] = {}
    prefix = f"{place}." if place else ""
    known = {field.encode_name for field in msgspec.structs.fields(kind)}
    for entry in entries:
        name = str(entry[0])
        if name not in known:
            raise SettingsError(f"{path}: {prefix}{name}: unknown setting")
        if name in raw:
            raise SettingsError(f"{path}: {prefix}{name}: given twice")
        if name in lists:
            raw[name] = entry[1:]
        elif len(entry) == 2:
            raw[name] = entry[1]
        else:
            raise SettingsError(f"{path}: {prefix}{name}: expected one value")
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as problem:
        raise invalid_settings(path, problem, place) from problem
