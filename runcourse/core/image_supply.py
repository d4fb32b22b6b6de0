"""Finds the images that enough machines hold while tasks outnumber the free room."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from .context import Context
from .ids import LONG_AGO, Instant, ShareNo
from .machine import Machine
from .shares import OwnedShare
from .work import Work, images_being_fetched

# An image is plentiful if the fraction of CPUs whose machines hold or fetch it is at least this
# many times the fraction of the CPUs requested by waiting tasks that is requested with it.
PLENTIFUL_FACTOR = 2.0
MAX_PLENTIFUL_PART = 1.0  # bounds the required fraction: an image on every machine is plentiful
COUNT_INTERVAL_S = 1.0  # minimum time between two counts of the held images


class HeldImages(NamedTuple):
    """The CPUs of a share's usable machines that hold or fetch each image, counted at one time."""

    at: Instant
    cpus_by_image: dict[str, float]
    cpus: float  # of all usable machines


NEVER_COUNTED = HeldImages(LONG_AGO, {}, 0.0)


class ImageSupply:
    """Finds the plentiful images: their tasks leave machines that lack the image to other tasks.

    This extends the placement of the SlackVM paper.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self._held: dict[ShareNo, HeldImages] = {}

    def plentiful(
        self,
        owned_share: OwnedShare,
        waiting: list[Work],
        usable: Callable[[], list[Machine]],
        machines_with_room: list[Machine],
    ) -> frozenset[str]:
        """Returns the images that enough machines hold for their part of the waiting work.

        Tasks with such an image leave machines without it to tasks whose image is there, since
        fetching takes a large part of a short task's time. While all waiting tasks fit into the
        free room, no image is returned.
        """
        wanted: dict[str, float] = {}
        for work in waiting:
            cpus = len(work.pending) * work.job.size.cpus
            wanted[work.job.spec.image] = wanted.get(work.job.spec.image, 0.0) + cpus
        total = sum(wanted.values())
        if total <= sum(m.room.cpus for m in machines_with_room):
            return frozenset()
        held = self._held.get(owned_share.number, NEVER_COUNTED)
        if self.context.now >= held.at + COUNT_INTERVAL_S:
            held = self._held[owned_share.number] = self._count(usable())
        if not held.cpus:
            return frozenset()
        return frozenset(
            image
            for image, wanted_cpus in wanted.items()
            if held.cpus_by_image.get(image, 0.0) / held.cpus
            >= min(PLENTIFUL_FACTOR * wanted_cpus / total, MAX_PLENTIFUL_PART)
        )

    def _count(self, machines: list[Machine]) -> HeldImages:
        cpus_by_image: dict[str, float] = {}
        total = 0.0
        for machine in machines:
            assert machine.type is not None
            total += machine.type.cpus
            for image in (*images_being_fetched(machine), *machine.images):
                cpus_by_image[image] = cpus_by_image.get(image, 0.0) + machine.type.cpus
        return HeldImages(self.context.now, cpus_by_image, total)
