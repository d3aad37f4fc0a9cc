"""Jobs that are stored in a pool after their queue was sent to another one."""

import asyncio
from dataclasses import replace

import pytest

from siskinroad.work.job_service import ReplyKind
from siskinroad.work.records import (
    Accepted,
    QueueClosing,
    decode_stored,
    job_topic,
    record_of,
)
from siskinroad.work.store import Record, StoreUnavailableError
from siskinroad.work.store_memory import MemoryStore
from tests.work.cell import FAST, MOVED, POOL, job, step
from tests.work.test_daemon import JOB_ID, run_scenario
from tests.work.test_queue_assigner import NAMES, find_queue, list_started, start_cell

# Seconds after which the store carries out an append that it does not answer.
LATE_S = 4.0
TASK_S = 8.0
OTHER_ID = "00000000000000dd"


class LaggingStore(MemoryStore):
    """A daemon's store that may bring its reads, and carry out its appends, late.

    Attributes
    ----------
    reads_held : set of str
        Topics of which no read is answered.
    append_delay_s : float
        Seconds before each append of jobs takes effect.
    refused : set of str
        Topics to which no append is done.
    """

    def __init__(self, logs, client=""):
        super().__init__(logs, client)
        self.reads_held = set()
        self.append_delay_s = 0.0
        self.refused = set()

    async def read(self, topic, start, *, wait, timeout=1.0):
        while topic in self.reads_held:
            await asyncio.sleep(0.05)
        result = await super().read(topic, start, wait=wait, timeout=timeout)
        while topic in self.reads_held:
            await asyncio.sleep(0.05)
        return result

    async def newest(self, topic, after="", *, timeout=1.0):
        while topic in self.reads_held:
            await asyncio.sleep(0.05)
        return await super().newest(topic, after, timeout=timeout)

    async def append(self, topic, records, *, at=None, fence=None, timeout=1.0):
        if topic in self.refused:
            raise StoreUnavailableError("refused", step="store.append")
        if topic.startswith("jobs."):
            await asyncio.sleep(self.append_delay_s)
        return await super().append(topic, records, at=at, fence=fence, timeout=timeout)


def store_of(cell, name):
    return cell.daemons[name].platform_clients.store


def hold_configuration(cell, name):
    """Let a daemon keep the configuration that it has; return what ends that."""
    reader = cell.daemons[name].configuration_reader
    apply_record, missed = reader.apply_record, []
    reader.apply_record = missed.append

    def release():
        reader.apply_record = apply_record
        for record in missed:
            apply_record(record)

    return release


async def submit_until_accepted(cell, names, job_id, spec):
    """Submit a job as a caller does that gets no answer or a 504."""
    for i in range(20):
        name = names[i % len(names)]
        if name in cell.daemons:
            queue = find_queue(cell, name)
            if (await cell.submit(name, job_id, spec, queue)).kind is ReplyKind.OK:
                return
        await asyncio.sleep(0.5)
    raise AssertionError("not accepted")


def test_an_append_that_is_done_after_the_move_starts_no_second_run():
    # Guards against review/8: a job ran in both pools, as its first append came after
    # the former pool's owner had said that it does not know the job.
    async def scenario(cell):
        await start_cell(cell, TASK_S)
        owner = cell.owner()
        faults = cell.logs.faults
        faults.lost_replies, faults.late_append_delay = 1, LATE_S
        first_try = asyncio.create_task(cell.submit(owner, JOB_ID, job(step(2)), FAST))
        await asyncio.sleep(0.05)
        assert faults.lost_replies == 0
        await cell.kill(owner, loses_power=True)
        cell.configure(5)
        await asyncio.sleep(0.2)
        others = [name for name in NAMES if name != owner]
        await submit_until_accepted(cell, others, JOB_ID, job(step(2)))
        await asyncio.gather(first_try, return_exceptions=True)
        await asyncio.sleep(LATE_S + 3.0)
        stored = cell.logs.topic("jobs." + POOL).newest[JOB_ID]
        assert isinstance(decode_stored(stored.value), Accepted)
        assert [start.host[0] for start in cell.hosts.starts()] == ["j", "j"]
        # Nor does an owner that only reads what is left of it.
        await cell.kill(cell.owner(), loses_power=True)
        await asyncio.sleep(6.0)
        assert len(cell.hosts.starts()) == 2

    run_scenario(scenario)


def test_a_repeated_record_behind_the_closing_does_not_hide_the_accepted_job():
    # The newest record of the key is a late one; the job was accepted by the first.
    async def scenario(cell):
        await start_cell(cell, TASK_S)
        full = job(step(cpu_milli=32000))
        for i in range(3):
            await cell.submit("a", f"{i:016x}", full, FAST)
        await cell.submit("a", JOB_ID, full, FAST)
        first = cell.logs.topic("jobs." + POOL).newest[JOB_ID]
        cell.configure(5)
        await asyncio.sleep(0.5)
        await submit_until_accepted(cell, NAMES, OTHER_ID, job())
        topic = cell.logs.topic("jobs." + POOL)
        assert any(key.startswith("~closing") for key in topic.newest)
        repeated = record_of(decode_stored(first.value))
        cell.logs.append("jobs." + POOL, [repeated], None, None)
        for name in NAMES:
            await cell.kill(name)
        for name in NAMES:
            cell.start(name)
        await asyncio.sleep(TASK_S + 8.0)
        started = list_started(cell)
        assert started.count(JOB_ID) == 1
        assert await cell.state("a", JOB_ID, MOVED) in ("active", "complete")

    run_scenario(scenario)


@pytest.mark.parametrize("is_trimmed", [False, True])
def test_a_held_read_beside_dropped_history_hides_no_accepted_job(is_trimmed):
    # The owner reads only the newest records then: the closing, and behind it the late
    # repetition of a job that was accepted before it.
    async def scenario(cell):
        cell.open_store = LaggingStore
        await start_cell(cell, TASK_S)
        store = store_of(cell, cell.owner(POOL))
        topic = job_topic(POOL)
        store.reads_held.add(topic)
        await asyncio.sleep(1.0)
        at = asyncio.get_running_loop().time()
        first = Accepted(JOB_ID, FAST.name, POOL, at, job(), assigned=1)
        cell.logs.append(topic, [record_of(first)], None, None)
        closing = QueueClosing(FAST.name, 5)
        cell.logs.append(topic, [record_of(closing)], None, None)
        cell.logs.append(topic, [record_of(first)], None, None)
        late = Accepted(OTHER_ID, FAST.name, POOL, at, job(), assigned=1)
        if is_trimmed:
            cell.logs.trim(topic)
        store.reads_held.clear()
        await asyncio.sleep(3.0)
        assert list_started(cell).count(JOB_ID) == 1
        # What is read behind that closing from now on is late.
        cell.logs.append(topic, [record_of(late)], None, None)
        await asyncio.sleep(3.0)
        assert OTHER_ID not in list_started(cell)
        cell.logs.append(topic, [record_of(late)], None, None)
        await asyncio.sleep(1.0)
        assert list_started(cell).count(JOB_ID) == 1

    run_scenario(scenario)


def test_jobs_of_a_queue_that_comes_back_are_accepted_behind_its_closing():
    async def scenario(cell):
        await start_cell(cell, 1.0)
        for i, version in enumerate((5, 7)):
            cell.configure(version)
            await asyncio.sleep(0.5)
            await submit_until_accepted(cell, NAMES, f"{i:016x}", job())
        closings = [
            decode_stored(record.value)
            for pool in (POOL, MOVED.pool)
            for record in cell.logs.topic("jobs." + pool).records
            if record.key.startswith("~closing")
        ]
        assert closings == [QueueClosing("fast", 5), QueueClosing("fast", 7)]
        await asyncio.sleep(3.0)
        hosts = {start.task.job: start.host[0] for start in cell.hosts.starts()}
        assert hosts == {f"{0:016x}": "j", f"{1:016x}": "i"}

    run_scenario(scenario)


def test_a_job_of_an_earlier_version_of_the_program_counts_behind_a_closing():
    # Its daemon has told the caller that the job is accepted.
    async def scenario(cell):
        await start_cell(cell, 1.0)
        cell.configure(5)
        await asyncio.sleep(0.5)
        await submit_until_accepted(cell, NAMES, OTHER_ID, job())
        earlier = record_of(Accepted(JOB_ID, "fast", POOL, 0.0, job()))
        cell.logs.append("jobs." + POOL, [earlier], None, None)
        await asyncio.sleep(3.0)
        assert list_started(cell) == sorted([OTHER_ID, JOB_ID])

    run_scenario(scenario)


def test_a_queue_that_is_never_moved_reads_no_closings_for_a_submit():
    async def scenario(cell):
        await start_cell(cell, 1.0)
        reads = []
        for daemon in cell.daemons.values():
            reader = daemon.closing_reader
            reader._read = reads.append
        for i in range(6):
            name = NAMES[i % len(NAMES)]
            reply = await cell.submit(name, f"{i:016x}", job(), FAST)
            assert reply.kind is ReplyKind.OK
        assert reads == []

    run_scenario(scenario)


def test_a_submit_whose_assignment_is_not_stored_is_not_said_to_have_not_run():
    # An append that is under way may bring the job to the former pool: seed 1085 of the
    # search for jobs that run though they were refused.
    async def scenario(cell):
        cell.open_store = LaggingStore
        await start_cell(cell, 1.0)
        for version in (5, 7):
            cell.configure(version)
            await asyncio.sleep(2.0)
            await submit_until_accepted(cell, NAMES, f"{version:016x}", job())
        for name in NAMES:
            store_of(cell, name).refused.add("members")
        cell.configure(10)
        await asyncio.sleep(1.0)
        reply = await cell.submit("a", JOB_ID, job(), find_queue(cell, "a"))
        assert reply.kind is ReplyKind.UNKNOWN

    run_scenario(scenario)


def test_a_late_record_of_an_older_assignment_hides_no_accepted_job():
    # Seed 1150 of the search: the newer record was replaced before the pool had an
    # owner that read it, and the job never ran.
    async def scenario(cell):
        await start_cell(cell, 1.0)
        for version in (5, 7):
            cell.configure(version)
            await asyncio.sleep(2.0)
            await submit_until_accepted(cell, NAMES, f"{version:016x}", job())
        cell.configure(10)
        await asyncio.sleep(0.5)
        await cell.kill(cell.owner(MOVED.pool), loses_power=True)
        await submit_until_accepted(cell, list(cell.daemons), JOB_ID, job())
        topic = "jobs." + MOVED.pool
        stored = cell.logs.topic(topic).newest[f"{JOB_ID}@10"]
        assert decode_stored(stored.value).assigned == 10
        earlier = Accepted(JOB_ID, FAST.name, MOVED.pool, 0.0, job(), assigned=5)
        for key in (JOB_ID, f"{JOB_ID}@5"):
            late = Record(key, record_of(earlier).value)
            cell.logs.append(topic, [late], None, None)
        cell.logs.trim(topic)
        await asyncio.sleep(8.0)
        assert list_started(cell).count(JOB_ID) == 1

    run_scenario(scenario)


def test_a_job_of_a_moved_queue_is_forgotten_under_all_its_keys():
    async def scenario(cell):
        await start_cell(cell, 1.0)
        cell.configure(5)
        await asyncio.sleep(0.5)
        await submit_until_accepted(cell, NAMES, JOB_ID, job())
        newest = cell.logs.topic("jobs." + MOVED.pool).newest
        assert f"{JOB_ID}@5" in newest
        await asyncio.sleep(150.0)
        assert not [key for key in newest if key.startswith(JOB_ID)]
        assert await cell.state("a", JOB_ID, MOVED) == "no_job"

    run_scenario(scenario)


def test_a_read_from_before_the_append_does_not_show_that_a_job_is_accepted():
    async def scenario(cell):
        await start_cell(cell, 1.0)
        late = next(name for name in NAMES if name != cell.owner())
        daemon = cell.daemons[late]
        newest = daemon.store.newest

        async def read_stale(topic, after="", *, timeout=1.0):
            page = await newest(topic, after, timeout=timeout)
            return replace(page, items=(), end=0) if after else page

        daemon.store.newest = read_stale
        daemon.job_writer._find_job_writer = lambda pool: late
        reply = await cell.submit(late, JOB_ID, job(), FAST)
        assert reply.kind is ReplyKind.UNKNOWN
        daemon.store.newest = newest
        reply = await cell.submit(late, JOB_ID, job(), FAST)
        assert reply.kind is ReplyKind.OK

    run_scenario(scenario)
