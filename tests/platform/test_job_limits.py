"""Tests of the limits on the job that a caller submits."""

import json

import pytest
from siskinroad_platform.job_limits import MAX_NAMES_BYTES, MAX_SPEC_BYTES, MAX_STEPS
from siskinroad_platform.wire import decode_job

from siskinroad.errors import ProtocolError


def encode(phases, spec="s"):
    return json.dumps({"spec": spec, "phases": phases}, ensure_ascii=False).encode()


def step(**fields):
    return {"count": 1, "cpu": 1, **fields}


def test_the_largest_job_that_the_pages_allow_is_decoded():
    # Its spec consists of what is counted before a body is decoded.
    flags = ("saves_progress", "gang", "rack_local", "speculative", "long_running")
    texts = dict.fromkeys(("required_label", "data_rack", "image"), "a,b")
    numbers = dict.fromkeys(
        ("mem_mb", "gpu", "estimated_ms", "anti_affinity", "target_ms"), 1
    )
    fields = dict.fromkeys((*flags, "fills"), True) | texts | numbers
    phases = [step(**fields, depends_on=list(range(i))) for i in range(MAX_STEPS)]
    for char in "{[,":
        spec = decode_job(encode(phases, char * MAX_SPEC_BYTES))
        assert len(spec.steps[-1].after) == MAX_STEPS - 1


@pytest.mark.parametrize("spec", ["s" * 4001, "é" * 2001, "🐦" * 1001])
def test_a_spec_over_4000_bytes_is_refused(spec):
    with pytest.raises(ProtocolError, match="4000 bytes"):
        decode_job(encode([step()], spec))
    assert decode_job(encode([step()], spec[:1000])).payload == spec[:1000]


@pytest.mark.parametrize("name", ["required_label", "data_rack", "image"])
def test_names_over_16_kib_in_all_are_refused(name):
    half = MAX_NAMES_BYTES // 2
    allowed = [step(**{name: "a" * half}), step(**{name: "b" * half})] * 2
    assert len(decode_job(encode(allowed)).steps) == 4
    with pytest.raises(ProtocolError, match="names of at most 16384 bytes"):
        decode_job(encode([*allowed, step(image="c")]))


def test_a_step_depends_on_no_more_than_the_steps_before_it():
    with pytest.raises(ProtocolError, match="at most 1 dependencies, got 2"):
        decode_job(encode([step(), step(depends_on=[0, 0])]))


def test_a_step_that_is_named_twice_is_one_dependency():
    phases = [step(), step(), step(depends_on=[1, 1])]
    assert decode_job(encode(phases)).steps[2].after == (1,)


@pytest.mark.parametrize(
    "body",
    [
        encode([step()] * 16_000),
        b'{"spec":"s","phases":[' + b",".join([b'{"count":1}'] * 80_000) + b"]}",
        encode([step(), *[step(depends_on=[0] * 800)] * 100]),
        b'{"spec":"s","phases":' + b"[" * 5000 + b"]" * 5000 + b"}",
    ],
)
def test_a_body_of_too_many_values_is_refused_before_it_is_decoded(body, monkeypatch):
    monkeypatch.setattr("siskinroad_platform.wire._JOB_DECODER", None)
    with pytest.raises(ProtocolError, match="expected at most"):
        decode_job(body)
