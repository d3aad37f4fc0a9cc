"""Tests of the counts of jobs by queue, data centre and result."""

import asyncio

from siskinroad.work.hosts import EndKind
from siskinroad.work.records import Accepted, decode_stored, encode_stored
from tests.work.cell import ADVISED, SLOW, job, step
from tests.work.test_daemon import run_scenario


def count_results(cell):
    """Return the number of ended jobs by queue, data centre and result."""
    counts = {}
    for daemon in cell.daemons.values():
        for metric in daemon.metrics.jobs_ended.collect():
            for sample in metric.samples:
                if sample.name.endswith("_total"):
                    counts[tuple(sample.labels.values())] = sample.value
    return counts


def test_jobs_are_counted_by_queue_data_centre_and_result():
    async def scenario(cell):
        await cell.start_daemons("a", "b")
        await cell.submit("a", "00000000000000aa", job(step()))
        await cell.wait_for_state("00000000000000aa", "complete")
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 9.0
        await cell.submit("b", "00000000000000bb", job(step()))
        await cell.wait_for_state("00000000000000bb", "complete")
        await cell.submit("b", "00000000000000cc", job(step()), SLOW)
        await cell.daemons["a"].job_service.cancel(
            SLOW, "00000000000000cc", cell.deadline()
        )
        for host in cell.hosts.hosts.values():
            host.task_duration_s = 0.2
            host.end_kind = EndKind.FAILED
        await cell.submit("a", "00000000000000dd", job(step()), ADVISED)
        await asyncio.sleep(12.0)
        assert count_results(cell) == {
            ("fast", "dc1", "in_time"): 1.0,
            ("fast", "dc1", "late"): 1.0,
            ("slow", "dc1", "cancelled"): 1.0,
            ("advised", "dc1", "failed"): 1.0,
        }

    run_scenario(scenario)


def test_a_record_without_a_data_centre_is_read():
    # Jobs that an earlier version has stored have none.
    stored = encode_stored(Accepted("a", "q", "p", 1.0, job()))
    assert b"data_centre" not in stored
    accepted = decode_stored(stored)
    assert isinstance(accepted, Accepted)
    assert accepted.data_centre == ""
