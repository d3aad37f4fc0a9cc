"""The registry of queues: which pools may hold jobs of a queue, and for how long."""

from dataclasses import replace

from siskinroad.work.model import Configuration
from siskinroad.work.queue_registry import QueueRegistry, make_stored_queue
from siskinroad.work.records import decode_stored, queue_key, record_of
from tests.work.cell import ADVISED, FAST, MOVED, POOL, POOLS, RENAMED

STORED = make_stored_queue(FAST, 1)


def configuration(*queues, pools=POOLS):
    return Configuration(1, queues, pools, 1 << 18)


def make_registry(*configurations):
    registry = QueueRegistry()
    for now, each in enumerate(configurations):
        registry.configure(each, float(now))
    return registry


def test_a_queue_that_was_never_moved_has_no_former_pool():
    registry = make_registry(configuration(FAST, ADVISED))
    registry.apply_record(STORED, 0.0)
    assert registry.former_pools(FAST) == ()


def test_a_former_pool_is_found_by_name_and_by_address():
    registry = make_registry(configuration(FAST), configuration(MOVED))
    assert registry.former_pools(MOVED) == (POOL,)
    assert registry.former_pools(RENAMED) == (POOL,)
    assert registry.former_pools(replace(RENAMED, prefix="/other/")) == ()


def test_a_former_pool_that_no_configuration_has_counts_only_if_it_is_stored():
    pools = (MOVED.pool,)
    registry = make_registry(configuration(FAST), configuration(MOVED, pools=pools))
    assert registry.former_pools(MOVED) == ()
    registry.apply_record(STORED, 2.0)
    assert registry.former_pools(MOVED) == (POOL,)


def test_a_queue_is_stored_once_and_again_when_its_settings_change():
    registry = make_registry(configuration(FAST))
    assert registry.list_unstored(POOL, ()) == [STORED]
    registry.apply_record(STORED, 0.0)
    assert registry.list_unstored(POOL, ()) == []
    registry.configure(configuration(replace(FAST, timeout=9.0)), 1.0)
    assert registry.list_unstored(POOL, ()) == []
    registry.configure(configuration(replace(FAST, priority=5)), 2.0)
    assert [each.priority for each in registry.list_unstored(POOL, ())] == [5]


def test_a_removed_queue_is_forgotten_once_its_pool_holds_no_job_of_it():
    registry = make_registry(configuration(FAST), configuration(ADVISED))
    registry.apply_record(STORED, 1.0)
    key = queue_key(STORED)
    assert registry.list_obsolete(POOL, {FAST.name}, 100.0) == []
    assert registry.list_obsolete(POOL, (), 30.0) == []
    assert registry.list_obsolete(POOL, (), 100.0) == [key]
    registry.remove(key)
    assert registry.former_pools(MOVED) == ()


def test_a_queue_in_force_that_the_store_has_lost_is_stored_again():
    registry = make_registry(configuration(FAST))
    registry.apply_record(STORED, 0.0)
    registry.keep_listed(set())
    assert registry.list_unstored(POOL, ()) == [STORED]


def test_a_record_of_a_queue_is_read_as_it_was_written():
    stored = make_stored_queue(replace(ADVISED, prefix="/" + "p" * 300))
    record = record_of(stored)
    assert decode_stored(record.value) == stored
    assert len(record.key) < 256
