"""Answers to requests with no key, an unknown one, the job's and another account's."""

import msgspec
import pytest
from siskinroad_platform.callers import CallerHandler
from siskinroad_platform.wire import PlatformDecoder

from siskinroad.httpd import HttpRequest
from tests.platform.fake_platform import CONFIG
from tests.work import cell as work_cell
from tests.work.test_daemon import run_scenario

JOB = "5c0e7a21d94b36f8"
BODY = b'{"spec":"s","phases":[{"count":1,"cpu":1000,"mem_mb":10,"estimated_ms":500}]}'
TENANTS = [
    {"name": "a", "api_keys": ["key-a"], "weight": 2, "max_count": {"cpu": 1}},
    {"name": "b", "api_keys": ["key-b"], "weight": 1},
]


def decode(config):
    body = msgspec.json.encode(config)
    return PlatformDecoder().decode_configuration("config", body)


def configuration_with_accounts():
    route = CONFIG["routes"][0] | {"service": work_cell.POOL, "advisor": None}
    routes = [
        route | {"name": "closed", "path_prefix": "/closed/", "public": False},
        route | {"name": "public", "path_prefix": "/public/", "public": True},
    ]
    services = [{"name": work_cell.POOL}]
    fields = {"version": 9, "routes": routes, "services": services}
    return decode(CONFIG | fields | {"tenants": TENANTS})


async def request(handler, method, path, key=None, body=b""):
    headers = {"host": CONFIG["routes"][0]["host"], "deadline-ms": "3000"}
    if key is not None:
        headers["authorization"] = f"Token {key}"
    req = HttpRequest(method, path, {}, headers, body)
    return (await handler.handle(req)).status


def test_each_verb_with_each_key(monkeypatch):
    version = configuration_with_accounts()
    monkeypatch.setitem(work_cell.CONFIGURATION_BY_VERSION, 9, version)
    # Statuses without a key, with an unknown one, the job's, another account's.
    keys = (None, "none", "key-a", "key-b")

    async def scenario(cell):
        record = work_cell.Record("config", b"9")
        cell.logs.append("keyed.setup", [record], None, None)
        await cell.start_daemons("a", "b")
        for name in cell.daemons:
            handler = CallerHandler(cell.daemons[name])

            async def statuses(method, path, body=b"", handler=handler):
                return [await request(handler, method, path, k, body) for k in keys]

            job = f"/closed/{JOB[:-1]}{'ab'.index(name)}"
            assert (await statuses("POST", job, BODY))[:3] == [401, 401, 200]
            assert await statuses("GET", job) == [401, 401, 200, 403]
            assert await statuses("GET", "/closed/") == [401, 401, 200, 200]
            assert await statuses("DELETE", job) == [401, 401, 200, 403]
            public = f"/public/{JOB[:-1]}{'cd'['ab'.index(name)]}"
            assert (await statuses("POST", public, BODY))[0] == 200
            assert await statuses("GET", "/public/") == [200] * 4
            assert await statuses("GET", "/none/") == [404] * 4

    run_scenario(scenario)


@pytest.mark.parametrize(
    "tenant",
    [
        {"api_keys": ["k"]},
        {"name": "", "api_keys": ["k"]},
        {"name": "x", "api_keys": "k"},
        {"name": "x", "api_keys": [1]},
        {"name": "x", "api_keys": ["k"], "max_count": {"cpu": -1}},
        {"name": "x", "api_keys": ["k"], "max_count": {"cpu": 1.5}},
        {"name": "x", "api_keys": ["k"], "weight": 0},
        {"name": "x", "api_keys": ["k"], "weight": -1},
        7,
    ],
)
def test_a_malformed_account_is_left_out_alone(tenant):
    directory = decode(CONFIG | {"tenants": [tenant, *TENANTS]}).accounts
    assert sorted(directory.by_name) == ["a", "b"]
    assert directory.find_by_key("k") is None


def test_the_first_of_two_accounts_with_a_key_has_it():
    tenants = [*TENANTS, {"name": "c", "api_keys": ["key-a", "key-c"]}]
    directory = decode(CONFIG | {"tenants": tenants}).accounts
    assert directory.find_by_key("key-a").name == "a"
    assert directory.find_by_key("key-c").name == "c"


def test_a_configuration_without_accounts_has_none():
    assert decode(CONFIG).accounts is None
