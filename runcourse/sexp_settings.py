"""Operators' settings as S-expressions: `(head (name value) ...)`.

Every fault is reported as one line naming the file, the field and the reason.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import msgspec
import sexpdata

from .errors import SettingsError, settings_fault

Entry = list[Any]
T = TypeVar("T", bound=msgspec.Struct)


def read_entries(path: Path, head: str) -> list[Entry]:
    """The entries of the file's only expression, which begins with `head`."""
    try:
        tree = sexpdata.loads(  # type: ignore[no-untyped-call]
            path.read_text(encoding="utf-8")
        )
    except OSError as problem:
        raise SettingsError(f"{path}: file: {problem.strerror}") from problem
    except Exception as problem:  # sexpdata has no common base for what it raises
        raise SettingsError(f"{path}: file: not an S-expression: {problem}") from problem
    if not isinstance(tree, list) or not tree or str(tree[0]) != head:
        raise SettingsError(f"{path}: file: expected ({head} (name value) ...)")
    entries = tree[1:]
    for entry in entries:
        if not isinstance(entry, list) or len(entry) < 2:
            raise SettingsError(f"{path}: {entry}: expected (name value)")
    return entries


def to_struct(
    path: Path, entries: list[Entry], kind: type[T], place: str = "", lists: tuple[str, ...] = ()
) -> T:
    """The entries as a struct; fields named in `lists` take any number of values."""
    raw: dict[str, Any] = {}
    prefix = f"{place}." if place else ""
    known = {f.encode_name for f in msgspec.structs.fields(kind)}
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
        raise settings_fault(path, problem, place) from problem
