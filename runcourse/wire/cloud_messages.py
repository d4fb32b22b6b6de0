"""PROTOCOL's messages of the cloud, and nothing else knows their spellings."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from msgspec import Struct

from ..core.ids import MachineId
from ..core.types import CloudMachine, MachineType
from .codec import Amount, Text, convert, decode_map


class _Hull(Struct, frozen=True):
    label: Text
    vcpus: Amount
    ram_gb: Amount
    gpus: Amount = 0.0
    cache_gb: Amount = 0.0
    pull_gb_per_s: Amount = 0.0
    hourly: Amount = 0.0
    market_price: Amount = 0.0
    startup_s: Amount = 0.0
    yards: tuple[str, ...] = ()


class _Catalog(Struct, frozen=True):
    hulls: list[_Hull]


class _CloudHost(Struct, frozen=True):
    uid: Text
    hull: Text
    yard: Text
    addr: str = ""
    lendable: bool = False
    stage: str = "running"
    age_s: float = 0.0


class _CloudList(Struct, frozen=True):
    hosts: list[_CloudHost]
    has_next: bool = False


class _Hired(Struct, frozen=True):
    hosts: list[Text]


def catalog(body: bytes) -> tuple[MachineType, ...]:
    """The cloud's machine types; raises `Malformed`."""
    types = convert(decode_map(body), _Catalog).hulls
    return tuple(
        MachineType(
            name=h.label,
            cpus=h.vcpus,
            memory=h.ram_gb,
            gpus=h.gpus,
            cache_gb=h.cache_gb,
            fetch_gb_per_s=h.pull_gb_per_s,
            price=h.hourly,
            spot_price=h.market_price,
            boot_s=h.startup_s,
            zones=h.yards,
        )
        for h in types
    )


def cloud_list(body: bytes) -> tuple[tuple[CloudMachine, ...], bool]:
    """A page of the cloud's list, and whether more follow; raises `Malformed`."""
    page = convert(decode_map(body), _CloudList)
    return tuple(
        CloudMachine(
            id=MachineId(h.uid),
            addr=h.addr,
            type=h.hull,
            zone=h.yard,
            spot=h.lendable,
            stage=h.stage,
            age_s=h.age_s,
        )
        for h in page.hosts
    ), page.has_next


def list_path(since: str | None, most: int) -> str:
    """The request for a page of the cloud's list."""
    return f"/machines?most={most}" + (f"&since={since}" if since else "")


def hire(name: str, type_: str, zone: str, spot: bool, number: int) -> dict[str, Any]:
    """A request to rent machines."""
    return {"hire": name, "hull": type_, "yard": zone, "lendable": spot, "number": number}


def hired(body: bytes) -> tuple[MachineId, ...]:
    """The machines that were rented; raises `Malformed`."""
    return tuple(MachineId(h) for h in convert(decode_map(body), _Hired).hosts)


def release(machines: Iterable[MachineId]) -> dict[str, Any]:
    """A request to return machines."""
    return {"hosts": list(machines)}
