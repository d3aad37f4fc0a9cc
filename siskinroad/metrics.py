"""Prometheus metrics of one daemon."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

__all__ = ["Metrics"]

# Upper bounds of the histogram buckets for the time before work starts, in seconds.
WAIT_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 5.0, 30.0, 300.0)


class Metrics:
    """Metrics of one daemon, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self.refusals = self._add_counter(
            "siskinroad_refusals", "Requests and jobs refused.", "reason", "step"
        )
        self.retries = self._add_counter(
            "siskinroad_retries", "Tries repeated or given up.", "reason"
        )
        self.task_controls = self._add_counter(
            "siskinroad_controls", "Tasks stopped, checkpointed, throttled.", "action"
        )
        self.host_events = self._add_counter(
            "siskinroad_host_events", "Changes in a host's standing.", "event"
        )
        self.http_refusals = self._add_counter(
            "siskinroad_http_refusals", "Requests refused below HTTP.", "reason"
        )
        self.answers = self._add_counter(
            "siskinroad_answers", "Whole answers delivered.", "service"
        )
        self.claims = self._add_counter(
            "siskinroad_claims", "Changes of ownership.", "event"
        )
        self.wait_seconds = Histogram(
            "siskinroad_wait_seconds",
            "Waiting time before work starts.",
            ("urgency", "owner"),
            buckets=WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.packing_ratio = Gauge(
            "siskinroad_packing_ratio",
            "Part of the open hosts' capacity that is given away.",
            ("dimension",),
            registry=self.registry,
        )
        self.waiting_items = Gauge(
            "siskinroad_waiting_items",
            "Requests, tasks and gangs that wait.",
            ("reason",),
            registry=self.registry,
        )
        self.longest_wait_seconds = Gauge(
            "siskinroad_longest_wait_seconds",
            "Longest present wait.",
            ("reason",),
            registry=self.registry,
        )
        self.peer_sent_bytes = Gauge(
            "siskinroad_peer_sent_bytes",
            "Bytes sent to other daemons.",
            ("kind", "distance"),
            registry=self.registry,
        )
        self.revision = Gauge(
            "siskinroad_revision", "Cell revision in force.", registry=self.registry
        )

    def _add_counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(name, help_text, labels, registry=self.registry)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
