"""The answer to operators' status queries: a controller's view of shares, machines and work."""

from __future__ import annotations

from typing import Any

from .ids import LONG_AGO
from .node import Node


def status_of(node: Node) -> dict[str, Any]:
    """Returns the node's view as plain values."""
    now = node.context.now
    shares = []
    for number in node.shares.all():
        owner = node.shares.owner(number)
        owned_share = node.shares.owned.get(number)
        shares.append(
            {
                "share": number,
                "home": node.context.home(number),
                "owner": owner[0] if owner else None,
                "alive": node.shares.live_owner(number) is not None,
                "epoch": node.store.stamp(node.shares.key(number)),
                "settled": owned_share.settled if owned_share else None,
            }
        )
    machines = [
        {
            "machine": machine.id,
            "share": machine.share.number,
            "type": machine.record.type,
            "zone": machine.record.zone,
            "spot": machine.record.spot,
            "tasks": sum(1 for placement in machine.placements.values() if placement.active),
            "cpus": machine.used.cpus,
            "usable": node.fleet.usable(machine),
            "set_aside": now < machine.quarantined_until,
            "leaving": machine.record.leaving,
            "heat": node.policy.heat_of(machine.id),
            "heard_s": round(now - machine.last_message_at, 1)
            if machine.last_message_at > LONG_AGO
            else None,
        }
        for machine in node.fleet.machines.values()
    ]
    gangs = [
        {
            "job": work.job.uid,
            "tasks": work.job.spec.tasks,
            "attempt": work.attempt,
            "phase": node.scheduler.gangs.phase(work),
            "incomplete": work.incomplete_attempts,
        }
        for work in list(node.scheduler.work.values())
        if work.job.spec.gang
    ]
    waiting = [
        {
            "job": work.job.uid,
            "team": work.job.spec.team,
            "tasks": len(work.pending),
            "gang": work.job.spec.gang,
            "for_s": round(now - work.job.submitted, 1),
            "why": work.wait_reason or "its turn",
        }
        for work in list(node.scheduler.work.values())
        if work.pending
    ]
    return {
        "member": node.context.me,
        "entitled": node.authority.may_act(),
        "contact_s": round(now - node.store.last_contact, 2) if node.store.ready else None,
        "leader": node.fleet_planner.leadership.leader(),
        "leading": node.fleet_planner.leadership.leading,
        "versions": node.versions.by_member(),
        "all_read": node.versions.all_read_parts,
        "shares": shares,
        "machines": machines,
        "waiting": waiting,
        "gangs": gangs,
        "locality": node.scheduler.migrations.status(),
        "entitlements": node.entitlements.status(),
    }
