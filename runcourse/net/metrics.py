"""Metrics in the Prometheus text format. Each scrape computes them anew from the node's state."""

from __future__ import annotations

import resource
from collections import Counter
from collections.abc import Iterable

from prometheus_client import CollectorRegistry
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4, generate_latest
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from ..core.node import Node

BYTES_PER_KIB = 1024


class _Collector(Collector):
    def __init__(self, node: Node, connections: int, malformed: int) -> None:
        self.node = node
        self.connections = connections
        self.malformed = malformed

    def collect(self) -> Iterable[Metric]:
        node = self.node
        gauges = [
            ("runcourse_entitled", "1 while this controller may act", node.authority.may_act()),
            ("runcourse_leading", "1 on the leader", node.fleet_planner.leadership.leading),
            (
                "runcourse_contact_age_seconds",
                "since the state service answered",
                node.context.now - node.store.last_contact if node.store.ready else -1,
            ),
            ("runcourse_shares_owned", "shares owned here", len(node.shares.owned)),
            (
                "runcourse_shares_unsettled",
                "owned shares whose tasks are not all located",
                sum(not share.settled for share in node.shares.owned.values()),
            ),
            (
                "runcourse_tasks_waiting",
                "tasks of owned shares that wait",
                sum(len(job_work.pending) for job_work in node.scheduler.work.values()),
            ),
            (
                "runcourse_write_backlog_seconds",
                "changes waiting for the write budget",
                node.store.backlog,
            ),
            (
                "runcourse_machines_in_doubt",
                "heard, but not shown to be reached",
                sum(
                    machine.suspected and machine.last_message_at >= 0
                    for machine in node.fleet.machines.values()
                ),
            ),
            (
                "runcourse_cancellations_unconfirmed",
                "stored, and not certain to be known yet",
                node.confirmations.waiting,
            ),
            ("runcourse_connections", "open connections on the API address", self.connections),
            ("runcourse_malformed", "malformed requests and answers", self.malformed),
            (
                "runcourse_memory_bytes",
                "largest resident size so far",
                resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KIB,
            ),
        ]
        for name, help_text, value in gauges:
            yield GaugeMetricFamily(name, help_text, value=float(value))
        jobs = GaugeMetricFamily("runcourse_jobs", "jobs known", labels=["stage"])
        open_jobs = len(node.jobs.open_jobs())
        jobs.add_metric(["open"], open_jobs)
        jobs.add_metric(["ended"], len(node.jobs) - open_jobs)
        yield jobs
        machines = GaugeMetricFamily(
            "runcourse_machines", "machines of owned shares", labels=["state"]
        )
        usable = sum(node.fleet.usable(machine) for machine in node.fleet.machines.values())
        machines.add_metric(["usable"], usable)
        machines.add_metric(["other"], len(node.fleet.machines) - usable)
        yield machines
        gangs = GaugeMetricFamily("runcourse_gangs", "gangs of owned shares", labels=["phase"])
        phases = Counter(
            node.scheduler.gangs.phase(work)
            for work in node.scheduler.work.values()
            if work.job.spec.gang
        )
        for phase in ("idle", "placed", "running", "ending"):
            gangs.add_metric([phase], phases[phase])
        yield gangs
        if node.policy.active:
            yield from self._move_metrics()
        if node.entitlements.active:
            yield from self._entitlement_metrics()

    def _entitlement_metrics(self) -> Iterable[Metric]:
        """Yields the metrics of organisations, on the leader; absent if there are none."""
        status = self.node.entitlements.status()
        in_force = not status["problem"]
        yield GaugeMetricFamily(
            "runcourse_entitlements_in_force", "1 if each share serves one organisation", in_force
        )
        yield GaugeMetricFamily(
            "runcourse_division_version", "version of the division in force", status["version"]
        )
        cpus = GaugeMetricFamily(
            "runcourse_organisation_cpus", "CPUs by organisation", labels=["organisation", "kind"]
        )
        for row in status["organisations"]:
            for kind in ("target", "held", "lent", "debt", "lacking"):
                if kind in row:
                    cpus.add_metric([row["organisation"], kind], row[kind])
        yield cpus

    def _move_metrics(self) -> Iterable[Metric]:
        """Yields the metrics of the locality policy; absent while it is off."""
        status = self.node.scheduler.migrations.status()
        moves = CounterMetricFamily(
            "runcourse_moves", "moves of running tasks by this process", labels=["result"]
        )
        for result, count in status["moves"].items():
            moves.add_metric([result], count)
        yield moves
        heats = GaugeMetricFamily("runcourse_machine_heat", "machines by load", labels=["heat"])
        for heat, count in status["machines"].items():
            heats.add_metric([heat], count)
        yield heats
        left = GaugeMetricFamily(
            "runcourse_moves_left", "moves that a share may make now", labels=["share"]
        )
        for share, count in status["moves_left"].items():
            left.add_metric([str(share)], count)
        yield left
        damped = sum(source["damped"] for source in status["sources"])
        yield GaugeMetricFamily("runcourse_sources_damped", "sources held as flapping", damped)


def render(node: Node, connections: int, malformed: int) -> tuple[bytes, str]:
    """Returns the metrics and their content type."""
    registry = CollectorRegistry()
    registry.register(_Collector(node, connections, malformed))
    return generate_latest(registry), CONTENT_TYPE_PLAIN_0_0_4
