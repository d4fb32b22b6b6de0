"""Messages of the cloud's API; their field names on the wire appear only in this module."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from msgspec import Struct

from ..core.ids import MachineId
from ..core.types import CloudMachine, MachineType
from .codec import Amount, Text, convert, decode_map


class _MachineType(Struct, frozen=True):
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
    hulls: list[_MachineType]


class _Machine(Struct, frozen=True):
    uid: Text
    hull: Text
    yard: Text
    addr: str = ""
    lendable: bool = False
    stage: str = "running"
    age_s: float = 0.0


class _MachinePage(Struct, frozen=True):
    hosts: list[_Machine]
    has_next: bool = False


class _RentedMachines(Struct, frozen=True):
    hosts: list[Text]


def decode_catalog(body: bytes) -> tuple[MachineType, ...]:
    """Returns the machine types of a catalog body; raises `Malformed`."""
    machine_types = convert(decode_map(body), _Catalog).hulls
    return tuple(
        MachineType(
            name=machine_type.label,
            cpus=machine_type.vcpus,
            memory=machine_type.ram_gb,
            gpus=machine_type.gpus,
            cache_gb=machine_type.cache_gb,
            fetch_gb_per_s=machine_type.pull_gb_per_s,
            price=machine_type.hourly,
            spot_price=machine_type.market_price,
            boot_s=machine_type.startup_s,
            zones=machine_type.yards,
        )
        for machine_type in machine_types
    )


def decode_machine_page(body: bytes) -> tuple[tuple[CloudMachine, ...], bool]:
    """Returns a page of the machine list and whether more pages follow; raises `Malformed`."""
    page = convert(decode_map(body), _MachinePage)
    return tuple(
        CloudMachine(
            id=MachineId(machine.uid),
            addr=machine.addr,
            type=machine.hull,
            zone=machine.yard,
            spot=machine.lendable,
            stage=machine.stage,
            age_s=machine.age_s,
        )
        for machine in page.hosts
    ), page.has_next


def machine_list_target(since: str | None, limit: int) -> str:
    """Returns the request target for a page of at most `limit` machines after the id `since`."""
    return f"/machines?most={limit}" + (f"&since={since}" if since else "")


def rent_request(name: str, type_: str, zone: str, spot: bool, number: int) -> dict[str, Any]:
    """Returns the body of a request to rent machines."""
    return {"hire": name, "hull": type_, "yard": zone, "lendable": spot, "number": number}


def decode_rented(body: bytes) -> tuple[MachineId, ...]:
    """Returns the ids of the machines that were rented; raises `Malformed`."""
    return tuple(MachineId(id_) for id_ in convert(decode_map(body), _RentedMachines).hosts)


def release_request(machines: Iterable[MachineId]) -> dict[str, Any]:
    """Returns the body of a request to return machines."""
    return {"hosts": list(machines)}
