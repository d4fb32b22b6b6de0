"""Images in a shortage: which of them enough machines hold."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from .context import Context
from .ids import LONG_AGO, Instant, ShareNo
from .machine import Machine
from .shares import Holding
from .work import Work, images_being_fetched

PLENTY = 2.0  # an image is held by enough machines: twice its part of what waits
HELD_EVERY_S = 1.0  # between two counts of what images the machines hold


class HeldImages(NamedTuple):
    """A count of what the usable machines of a share hold."""

    at: Instant
    cpus_by_image: dict[str, float]
    cpus: float  # of all usable machines


NEVER_COUNTED = HeldImages(LONG_AGO, {}, 0.0)


class ImageSupply:
    """Extension: a machine without an image is left to tasks whose image it holds."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self._held: dict[ShareNo, HeldImages] = {}

    def plentiful(
        self,
        holding: Holding,
        waiting: list[Work],
        usable: Callable[[], list[Machine]],
        machines_with_room: list[Machine],
    ) -> frozenset[str]:
        """While more waits than there is room for, images that enough machines hold for their
        part of what waits. Their tasks leave machines without the image to others whose image
        is there, as fetching takes a good part of a short task's time."""
        wanted: dict[str, float] = {}
        for work in waiting:
            cpus = len(work.pending) * work.job.size.cpus
            wanted[work.job.spec.image] = wanted.get(work.job.spec.image, 0.0) + cpus
        total = sum(wanted.values())
        if total <= sum(m.room.cpus for m in machines_with_room):
            return frozenset()
        held = self._held.get(holding.number, NEVER_COUNTED)
        if self.context.now >= held.at + HELD_EVERY_S:
            held = self._held[holding.number] = self._count(usable())
        if not held.cpus:
            return frozenset()
        return frozenset(
            image
            for image, part in wanted.items()
            if held.cpus_by_image.get(image, 0.0) / held.cpus >= min(PLENTY * part / total, 1.0)
        )

    def _count(self, machines: list[Machine]) -> HeldImages:
        found: dict[str, float] = {}
        total = 0.0
        for machine in machines:
            assert machine.type is not None
            total += machine.type.cpus
            for image in (*images_being_fetched(machine), *machine.images):
                found[image] = found.get(image, 0.0) + machine.type.cpus
        return HeldImages(self.context.now, found, total)
