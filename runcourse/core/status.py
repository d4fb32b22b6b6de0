"""What operators may ask of a controller: its view of shares, machines and waiting work."""

from __future__ import annotations

from typing import Any

from .ids import LONG_AGO
from .node import Node


def status_of(node: Node) -> dict[str, Any]:
    """The node's view as plain values."""
    now = node.context.now
    shares = []
    for number in node.shares.all():
        owner = node.shares.owner(number)
        holding = node.shares.owned.get(number)
        shares.append(
            {
                "share": number,
                "home": node.context.home(number),
                "owner": owner[0] if owner else None,
                "alive": node.shares.living_owner(number) is not None,
                "epoch": node.store.stamp(node.shares.key(number)),
                "settled": holding.settled if holding else None,
            }
        )
    machines = [
        {
            "machine": m.id,
            "share": m.share.number,
            "type": m.record.type,
            "zone": m.record.zone,
            "spot": m.record.spot,
            "tasks": sum(1 for p in m.placements.values() if p.active),
            "cpus": m.used.cpus,
            "usable": node.fleet.usable(m),
            "set_aside": now < m.quarantined_until,
            "leaving": m.record.leaving,
            "heat": node.policy.heat_of(m.id),
            "heard_s": round(now - m.last_message_at, 1) if m.last_message_at > LONG_AGO else None,
        }
        for m in node.fleet.machines.values()
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
        "entitled": node.authority.entitled(),
        "contact_s": round(now - node.store.last_contact, 2) if node.store.ready else None,
        "leader": node.rental.leadership.leader(),
        "leading": node.rental.leadership.leading,
        "versions": node.versions.by_member(),
        "all_read": node.versions.all_read_parts,
        "shares": shares,
        "machines": machines,
        "waiting": waiting,
        "gangs": gangs,
        "locality": node.scheduler.migrations.status(),
        "entitlements": node.entitlements.status(),
    }
