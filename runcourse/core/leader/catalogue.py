"""The cloud's machine types, read by the leader and kept in the store for all."""

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

CATALOG_EVERY_S = 30.0
CATALOG_FIRST_S = 1.0  # while no type is known

CatalogRow = list[Any]  # a machine type as it is stored


class Catalogue:
    """Keeps the stored catalogue as the cloud gives it."""

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
        self._read_at = LONG_AGO

    def tick(self) -> None:
        """Ask the cloud anew when it is time."""
        every = CATALOG_EVERY_S if self.fleet.types else CATALOG_FIRST_S
        if self.context.now >= self._read_at + every:
            self._read_at = self.context.now
            self.context.emit(ReadCatalog(self._read))

    def _read(self, outcome: Outcome) -> None:
        if outcome.status != 200 or not self.leadership.leading:
            return
        types: tuple[MachineType, ...] = outcome.body
        rows = [[*t[:9], list(t.zones)] for t in types]
        pages = self.pages(rows)
        changes: list[Write] = [
            Write(key, page) for key, page in pages.items() if page != self.store.get(key)
        ]
        changes += [Write(key, None) for key in self.store.keys(TYPES) if key not in pages]
        size = self.context.limits.txn_ops
        for n in range(0, len(changes), size):
            self.store.commit(
                [self.leadership.guard()],
                changes[n : n + size],
                lambda result, stamp: None,
                Store.LATER,
            )

    def pages(self, rows: list[CatalogRow]) -> dict[str, list[CatalogRow]]:
        """The catalogue as it goes into values; the former version reads the first alone."""
        most = self.context.limits.value_bytes
        if not self.versions.all_read:
            most = int(1024 * self.context.platform.settings.state.value_kb)
        pages: list[list[CatalogRow]] = [[]]
        for row in rows:
            if pages[-1] and json_size([*pages[-1], row]) > most:
                pages.append([])
            pages[-1].append(row)
        return {CATALOG if n == 0 else f"{TYPES}{n}": page for n, page in enumerate(pages)}
