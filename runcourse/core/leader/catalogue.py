"""The catalogue of the cloud's machine types, which the leader reads and stores for all nodes."""

from __future__ import annotations

from typing import Any

from ..context import Context
from ..ids import LONG_AGO
from ..machines import Fleet
from ..sizes import json_size
from ..store import Store
from ..stored_values import CATALOG, TYPES
from ..types import MachineType, Outcome, ReadCatalog, Write
from ..versions import Versions
from .leadership import Leadership

CATALOG_INTERVAL_S = 30.0  # between two readings of the cloud's catalogue
EMPTY_CATALOG_INTERVAL_S = 1.0  # between two readings while no machine type is known
SCALAR_COLUMNS = 9  # fields of `MachineType` before `zones`
BYTES_PER_KB = 1024

CatalogRow = list[Any]  # a machine type as it is stored


class Catalogue:
    """Keeps the copy of the catalogue in the store equal to the cloud's."""

    def __init__(
        self,
        context: Context,
        store: Store,
        leadership: Leadership,
        fleet: Fleet,
        versions: Versions,
    ) -> None:
        self.context = context
        self.store = store
        self.leadership = leadership
        self.fleet = fleet
        self.versions = versions
        self._last_read_at = LONG_AGO

    def tick(self) -> None:
        """Reads the catalogue from the cloud when the interval since the last reading is over."""
        every = CATALOG_INTERVAL_S if self.fleet.types else EMPTY_CATALOG_INTERVAL_S
        if self.context.now >= self._last_read_at + every:
            self._last_read_at = self.context.now
            self.context.emit(ReadCatalog(self._store_catalogue))

    def _store_catalogue(self, outcome: Outcome) -> None:
        if outcome.status != 200 or not self.leadership.leading:
            return
        types: tuple[MachineType, ...] = outcome.body
        rows = [[*t[:SCALAR_COLUMNS], list(t.zones)] for t in types]
        pages = self.pages(rows)
        changes: list[Write] = [
            Write(key, page) for key, page in pages.items() if page != self.store.get(key)
        ]
        changes += [Write(key, None) for key in self.store.keys(TYPES) if key not in pages]
        size = self.context.limits.txn_ops
        for start in range(0, len(changes), size):
            self.store.commit(
                [self.leadership.guard()],
                changes[start : start + size],
                lambda result, stamp: None,
                Store.BACKGROUND,
            )

    def pages(self, rows: list[CatalogRow]) -> dict[str, list[CatalogRow]]:
        """Returns the catalogue split into values of limited size for the store, by key.

        Nodes of the former version read the first value only. Until all nodes read the further
        ones, each value is therefore as large as the `value_kb` in force now allows, even if
        smaller values are announced for later.
        """
        max_bytes = self.context.limits.value_bytes
        if not self.versions.all_read_parts:
            max_bytes = int(BYTES_PER_KB * self.context.platform.settings.state.value_kb)
        pages: list[list[CatalogRow]] = [[]]
        for row in rows:
            if pages[-1] and json_size([*pages[-1], row]) > max_bytes:
                pages.append([])
            pages[-1].append(row)
        return {CATALOG if n == 0 else f"{TYPES}{n}": page for n, page in enumerate(pages)}
