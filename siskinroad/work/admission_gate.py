"""Admission of jobs by their pool's owner, with its log lines and metrics.

The job writer of a pool is its owner, so each submitted record passes here before it is
stored: the decision uses the owner's own state and needs no further message.
"""

from __future__ import annotations

import asyncio
import logging
import time

import msgspec

from siskinroad.work.admission import Accept, Admission, LoadRefusal
from siskinroad.work.advisor_channels import ChannelTimes
from siskinroad.work.host import Host
from siskinroad.work.job import Job, make_job
from siskinroad.work.load_forecast import AdvisorRoom, LoadForecast
from siskinroad.work.planner import Planner
from siskinroad.work.records import Accepted
from siskinroad.work.term import Term

__all__ = ["AdmissionGate"]

# Least seconds between two summaries of the load.
SUMMARY_INTERVAL_S = 0.2
# Multiple of the time that a summary took for which the next one waits.
SUMMARY_REST_FACTOR = 10.0
# Age in seconds from which on a summary is not used.
MAX_SUMMARY_AGE_S = 2.0
# Seconds between two log lines about the forecast.
LOG_INTERVAL_S = 1.0

log = logging.getLogger("siskinroad.admission")


class AdmissionGate:
    """Gate of one owner's pool.

    Parameters
    ----------
    term : Term
        The owner's term.
    planner : Planner
        The owner's planner.
    """

    def __init__(self, term: Term, planner: Planner) -> None:
        self._term = term
        self._planner = planner
        self.forecast = LoadForecast(term.pool_state)
        self.admission = Admission(term.pool_state, self.forecast)
        self._next_summary_at = -1e9
        self._logged_at = -1e9
        self._logged_number = 0
        self._observe_result = term.pool_state.observe_result
        term.pool_state.observe_result = self._note_result

    def refresh_if_due(
        self, now: float, wall: float, channel_times: ChannelTimes
    ) -> None:
        """Sum the load again if the last summary is old enough."""
        if now < self._next_summary_at:
            return
        began = time.perf_counter()
        self.forecast.refresh(
            self._find_hosts(now),
            self._measure_headroom(),
            self._measure_channels(channel_times),
            self.admission.over_weight_jobs,
            now,
            wall,
        )
        self.admission.keep_accounts()
        took_s = time.perf_counter() - began
        rest_s = max(SUMMARY_INTERVAL_S, SUMMARY_REST_FACTOR * took_s)
        self._next_summary_at = now + rest_s
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            self._log_summary(took_s)
            self._set_metrics()

    def _find_hosts(self, now: float) -> list[Host]:
        hosts = self._term.pool_state.hosts.values()
        return [host for host in hosts if host.is_usable(now)]

    def _measure_headroom(self) -> float:
        planning_pass = self._planner.last_pass
        if planning_pass is None:
            return 0.0
        capacity = planning_pass.schedulable_hosts.cpu_milli
        return self._planner.urgent_headroom.compute_headroom(capacity, 0.0) / 1000

    def _measure_channels(self, times: ChannelTimes) -> dict[str, AdvisorRoom]:
        pool_state = self._term.pool_state
        rooms: dict[str, AdvisorRoom] = {}
        for queue in pool_state.queues.values():
            if queue.advice is not None and queue.pool == pool_state.pool:
                call_s = pool_state.queue_times(queue.name).advice_s
                rooms[queue.name] = AdvisorRoom(*times.measure(call_s))
        return rooms

    def decide(self, accepted: Accepted, now: float) -> Accepted | LoadRefusal:
        """Return a job as it may be stored, or why it is turned away.

        A job that was turned away before counts from its first submission, as for its
        caller: otherwise it would be taken for a new one that can still be in time.
        """
        if accepted.job in self._term.pool_state.jobs:
            return accepted
        summary = self.forecast.summary
        if summary is None or now - summary.made_at > MAX_SUMMARY_AGE_S:
            return accepted
        job = make_job(accepted)
        match self.admission.decide(job, now):
            case Accept(waited_s=waited_s):
                if not waited_s:
                    return accepted
                return msgspec.structs.replace(accepted, at=accepted.at - waited_s)
            case LoadRefusal() as refusal:
                self._record_refusal(job, refusal)
                return refusal

    def _record_refusal(self, job: Job, refusal: LoadRefusal) -> None:
        metrics = self._term.dependencies.metrics
        metrics.turned_away.labels(job.queue, job.account, refusal.reason.value).inc()
        forecast = refusal.forecast
        if forecast.number != self._logged_number:
            self._log_summary(None)
        log.info(
            "admission: job turned away",
            extra={
                "request": job.id,
                "queue": job.queue,
                "account": job.account,
                "reason": refusal.reason.value,
                "retry_after_s": refusal.retry_after_s,
                "first_refused_before_s": round(refusal.waited_s, 2),
                "pool": self._term.pool,
                "term": self._term.number,
                "forecast": forecast.number,
                "forecast_age_s": round(forecast.age_s, 3),
                "wait_s": round(forecast.wait_s, 2),
                "chain_s": round(forecast.chain_s, 2),
                "end_s": round(forecast.end_s, 2),
                "spread_s": round(forecast.spread_s, 2),
                "allowed_s": round(forecast.allowed_s, 2),
            },
        )

    def _note_result(self, job: Job, result: str) -> None:
        """Compare a job that has ended with its forecast."""
        self._observe_result(job, result)
        is_complete = result in ("in_time", "late")
        now = asyncio.get_running_loop().time()
        self.forecast.check.record_end(job.id, now, is_complete=is_complete)
        self.admission.note_ended(job.id)

    def _log_summary(self, took_s: float | None) -> None:
        summary = self.forecast.summary
        if summary is None:
            return
        self._logged_number = summary.number
        room = summary.room
        log.info(
            "admission: forecast",
            extra={
                "pool": self._term.pool,
                "term": self._term.number,
                "forecast": summary.number,
                "took_s": None if took_s is None else round(took_s, 4),
                "cpu": round(room.cpu, 1),
                "free_cpu": round(room.free_cpu, 1),
                "headroom_cpu": round(summary.headroom_cpu, 1),
                "accelerators": round(room.accelerators, 1),
                "free_accelerators": round(room.free_accelerators, 1),
                "hopeless_tasks": summary.hopeless_tasks,
                "waiting": {
                    str(priority): {
                        "in_time_cpu_s": round(load.in_time.cpu_s, 1),
                        "late_cpu_s": round(load.late.cpu_s, 1),
                        "over_weight_cpu_s": round(load.over_weight.cpu_s, 1),
                        "accelerator_s": round(
                            load.in_time.accelerator_s + load.late.accelerator_s, 1
                        ),
                        "advice_s": round(load.advice_s, 2),
                    }
                    for priority, load in summary.waiting.items()
                },
                "queues": {
                    name: {
                        "jobs": accuracy.samples,
                        "error_s": round(accuracy.error_s, 2),
                        "late_fraction": round(accuracy.late_fraction, 2),
                        "chain_factor": round(accuracy.chain_factor, 2),
                        "wait_factor": round(accuracy.wait_factor, 2),
                    }
                    for name, accuracy in self.forecast.check.queues.items()
                },
            },
        )

    def _set_metrics(self) -> None:
        metrics = self._term.dependencies.metrics
        for name, accuracy in self.forecast.check.queues.items():
            metrics.forecast_error.labels(name).set(accuracy.error_s)
            metrics.forecast_trusted.labels(name).set(accuracy.is_trusted)
