"""Prometheus metrics of a daemon: requests of callers, starts, retries and claims."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

__all__ = ["SLOWDOWN_BOUNDS", "WorkMetrics"]

# Upper bounds of the buckets of reply times and loop delays, in seconds.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
# Upper bounds of the buckets of the durations of planning passes, in seconds.
PASS_BUCKETS_S = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0)
# Upper bounds of the buckets of the waits after takeovers, in seconds.
TAKEOVER_BUCKETS_S = (0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 7.0, 10.0, 15.0)
# Upper bounds of the buckets of learned slowdowns of hosts.
SLOWDOWN_BOUNDS = (0.5, 0.75, 0.99, 1.0, 1.5, 2.0, 4.0, float("inf"))


class WorkMetrics:
    """Metrics of one daemon, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        reg = self.registry
        self.answers = Counter(
            "siskinroad_caller_answers", "Answers.", ("verb", "status"), registry=reg
        )
        self.refusals = Counter(
            "siskinroad_caller_refusals", "Refusals.", ("verb", "reason"), registry=reg
        )
        self.http_refusals = Counter(
            "siskinroad_http_refusals",
            "Requests and connections refused before they reached a handler.",
            ("reason",),
            registry=reg,
        )
        self.key_checks = Counter(
            "siskinroad_key_checks",
            "Checks of callers' keys.",
            ("outcome",),
            registry=reg,
        )
        self.stopped_for_urgent = Counter(
            "siskinroad_runs_stopped_for_urgent",
            "Runs stopped so that urgent steps start in time, by their queue.",
            ("queue",),
            registry=reg,
        )
        self.retries = Counter(
            "siskinroad_work_retries", "Calls tried again.", ("reason",), registry=reg
        )
        self.store_waits = Counter(
            "siskinroad_submit_store_waits",
            "Submits that waited for the store, by whether it came back.",
            ("outcome",),
            registry=reg,
        )
        self.ended_appends = Gauge(
            "siskinroad_ended_appends",
            "Appends without an answer that were repeated at the store's return.",
            registry=reg,
        )
        self.starts = Counter(
            "siskinroad_starts", "Starts sent.", ("outcome",), registry=reg
        )
        self.claims = Counter(
            "siskinroad_pool_claims", "Claims of pools.", ("event",), registry=reg
        )
        self.claim_statements = Counter(
            "siskinroad_claim_statements",
            "Confirmations by the other members' statements about claims.",
            ("outcome",),
            registry=reg,
        )
        self.lease_statements = Counter(
            "siskinroad_lease_statements",
            "Rounds in which an owner asked members whether to extend its leases.",
            ("outcome",),
            registry=reg,
        )
        self.dropped_lines = Gauge(
            "siskinroad_log_lines_dropped", "Log lines left out.", registry=reg
        )
        self.renewals = Counter(
            "siskinroad_lease_renewals",
            "Lease renewals sent.",
            ("outcome",),
            registry=reg,
        )
        self.unlisted_ends = Counter(
            "siskinroad_runs_ended_unlisted",
            "Runs ended without an end listed by their host.",
            ("reason",),
            registry=reg,
        )
        self.copies = Counter(
            "siskinroad_speculative_copies",
            "Speculative copies allowed.",
            ("reason",),
            registry=reg,
        )
        self.stopped_runs = Counter(
            "siskinroad_runs_stopped",
            "Runs stopped by their owner.",
            ("reason",),
            registry=reg,
        )
        self.host_slowdowns = Gauge(
            "siskinroad_host_slowdowns",
            "Hosts of an owned pool by their run times against the median host, up to"
            " the bound.",
            ("pool", "bound"),
            registry=reg,
        )
        self.lost_hosts = Counter(
            "siskinroad_hosts_lost",
            "Hosts that answered as another incarnation, without their runs.",
            ("reason",),
            registry=reg,
        )
        self.jobs_ended = Counter(
            "siskinroad_jobs_ended",
            "Jobs by queue, by the data centre that took them, and by their result.",
            ("queue", "data_centre", "result"),
            registry=reg,
        )
        self.turned_away = Counter(
            "siskinroad_jobs_turned_away",
            "Jobs turned away for load by their pool's owner.",
            ("queue", "account", "reason"),
            registry=reg,
        )
        self.forecast_error = Gauge(
            "siskinroad_forecast_error_seconds",
            "Mean distance between the forecast and the actual end of a job.",
            ("queue",),
            registry=reg,
        )
        self.forecast_trusted = Gauge(
            "siskinroad_forecast_trusted",
            "1 if jobs may be turned away on the forecast of their queue.",
            ("queue",),
            registry=reg,
        )
        self.late_ends = Counter(
            "siskinroad_late_ends",
            "Ends listed for runs that were ended without one.",
            ("end_kind",),
            registry=reg,
        )
        self.loop_delay = Histogram(
            "siskinroad_loop_delay_seconds",
            "Delay of the event loop.",
            buckets=LATENCY_BUCKETS_S,
            registry=reg,
        )
        self.takeover = Histogram(
            "siskinroad_takeover_seconds",
            "Time from a new owner's start until tasks of earlier terms may be placed.",
            buckets=TAKEOVER_BUCKETS_S,
            registry=reg,
        )
        self.takeover_wait = Gauge(
            "siskinroad_takeover_wait_seconds",
            "Time for which tasks of earlier terms have waited since a takeover.",
            ("pool",),
            registry=reg,
        )
        self.planning_pass = Histogram(
            "siskinroad_planning_pass_seconds",
            "Duration of a planning pass.",
            buckets=PASS_BUCKETS_S,
            registry=reg,
        )
        self.waiting_tasks = Gauge(
            "siskinroad_waiting_tasks",
            "Waiting tasks of an owned pool by reason.",
            ("pool", "reason"),
            registry=reg,
        )
        self.longest_wait = Gauge(
            "siskinroad_longest_wait_seconds",
            "Longest wait of a task that waits for the reason.",
            ("pool", "reason"),
            registry=reg,
        )
        self.waiting_steps = Gauge(
            "siskinroad_waiting_steps",
            "Waiting steps of an owned pool by why they have their place.",
            ("pool", "place"),
            registry=reg,
        )
        self.hosts = Gauge(
            "siskinroad_hosts",
            "Hosts of an owned pool by state.",
            ("pool", "state"),
            registry=reg,
        )
        self.oldest_report = Gauge(
            "siskinroad_oldest_host_report_seconds",
            "Seconds since the last report of the pool's longest silent host.",
            ("pool",),
            registry=reg,
        )
        self.configuration_version = Gauge(
            "siskinroad_configuration_version",
            "Version of the configuration in force.",
            registry=reg,
        )
        self.configuration_age = Gauge(
            "siskinroad_configuration_age_seconds",
            "Seconds since the configuration was the newest for certain.",
            registry=reg,
        )
        self.account_held = Gauge(
            "siskinroad_account_held",
            "What an account has running in an owned pool.",
            ("pool", "account", "resource"),
            registry=reg,
        )
        self.account_part = Gauge(
            "siskinroad_account_part",
            "What an account may have running in an owned pool.",
            ("pool", "account", "resource"),
            registry=reg,
        )
        self.account_waiting = Gauge(
            "siskinroad_account_waiting",
            "Needs of an account's waiting tasks in an owned pool.",
            ("pool", "account", "resource"),
            registry=reg,
        )
        self.account_loans = Counter(
            "siskinroad_account_loans",
            "Answers about parts of accounts' limits.",
            ("outcome",),
            registry=reg,
        )
        self.latency = Histogram(
            "siskinroad_caller_seconds",
            "Time to answer.",
            ("verb",),
            buckets=LATENCY_BUCKETS_S,
            registry=reg,
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
