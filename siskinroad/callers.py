"""HTTP API for callers: requests to services; submission and control of jobs."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from siskinroad.cell import Workload
from siskinroad.errors import Outcome, Reason, Refusal
from siskinroad.httpd import HttpRequest, HttpResponse
from siskinroad.jobs import MAX_PAYLOAD_BYTES
from siskinroad.replies import json_response, refusal_response
from siskinroad.request_handler import Request

if TYPE_CHECKING:
    from siskinroad.entry import Daemon

__all__ = ["CallerApi"]

KEY_HEADER = "idempotency-key"
TIMEOUT_HEADER = "siskinroad-timeout"
# Longest idempotency key, in characters. Keys are stored, so that a larger value costs
# memory and log space; a smaller one refuses keys that callers use.
MAX_KEY_CHARS = 128
# Largest body in bytes of a request that needs none; it is ignored.
MAX_OTHER_BODY = 4096

log = logging.getLogger("siskinroad.callers")


class CallerApi:
    """Request handler of the callers' listener.

    ``/v1/services/NAME[/PATH]`` sends a request to a service,
    ``POST /v1/jobs/WORKLOAD?count=N`` submits a job, ``GET /v1/jobs/JOB?wait=S``
    returns its state, after waiting up to S seconds for its end, and
    ``DELETE /v1/jobs/JOB`` cancels it.
    """

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon

    def limit_body(self, method: str, path: str) -> int:
        """Return the largest body of a request, before it is read."""
        cell = self.daemon.configuration.cell
        match method, path.split("/", 4):
            case _, ["", "v1", "services", name, *_] if cell is not None:
                workload = cell.workloads.get(name)
                return MAX_OTHER_BODY if workload is None else workload.max_body
            case "POST", ["", "v1", "jobs", _]:
                return MAX_PAYLOAD_BYTES
        return MAX_OTHER_BODY

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Return the response to one request; report every failure as a refusal."""
        try:
            return await self._route(req)
        except Refusal as exc:
            self.daemon.metrics.refusals.labels(exc.reason.value, exc.step).inc()
            return refusal_response(exc)
        except Exception as exc:
            log.exception(
                "callers: unexpected error in a request; answering outcome unknown"
            )
            refusal = Refusal(
                Reason.INTERNAL,
                step="callers",
                outcome=Outcome.UNKNOWN,
                message=type(exc).__name__,
            )
            self.daemon.metrics.refusals.labels("internal", "callers").inc()
            return refusal_response(refusal)

    async def _route(self, req: HttpRequest) -> HttpResponse:
        parts = req.path.split("/", 4)
        match (req.method, parts):
            case (_, ["", "v1", "services", name, *_]):
                return await self._serve(req, name)
            case ("POST", ["", "v1", "jobs", name]):
                return await self._submit_job(req, name)
            case ("GET", ["", "v1", "jobs", job]):
                wait = _parse_number(req.query.get("wait", "0"), "wait")
                return json_response(200, await self.daemon.jobs.watch(job, wait))
            case ("DELETE", ["", "v1", "jobs", job]):
                return json_response(200, await self.daemon.jobs.cancel(job))
        text = f"no route for {req.method} {req.path[:80]}"
        raise Refusal(Reason.UNKNOWN_SERVICE, step="callers", message=text)

    def _find_workload(self, name: str) -> Workload:
        workload = self.daemon.cell().workloads.get(name)
        if workload is None:
            text = f"the cell has no workload {name[:80]}"
            raise Refusal(Reason.UNKNOWN_SERVICE, step="callers", message=text)
        return workload

    async def _serve(self, req: HttpRequest, name: str) -> HttpResponse:
        workload = self._find_workload(name)
        if workload.kind != "service":
            text = f"{name} is a job workload; it accepts no requests"
            raise Refusal(Reason.BAD_REQUEST, step="callers", message=text)
        if len(req.body) > workload.max_body:
            text = f"body is larger than {workload.max_body} bytes"
            raise Refusal(Reason.BAD_REQUEST, step="callers", message=text)
        request = self._build_request(req, workload)
        if not self.daemon.waiting_bytes.reserve(len(req.body), workload.urgency):
            raise Refusal(Reason.SHED, step="callers", retry_after=1.0)
        try:
            answer = await self.daemon.request_handler.serve(
                request, self.daemon.cell()
            )
        finally:
            self.daemon.waiting_bytes.release(len(req.body))
        self.daemon.metrics.answers.labels(name).inc()
        return HttpResponse(answer.status, answer.body, answer.content_type)

    def _build_request(self, req: HttpRequest, workload: Workload) -> Request:
        key = _parse_idempotency_key(req)
        if workload.key_required and not key:
            text = f"{workload.name} needs the header {KEY_HEADER}"
            raise Refusal(Reason.KEY_REQUIRED, step="callers", message=text)
        start_timeout_s = workload.start_within or workload.timeout
        timeout_s = start_timeout_s + workload.timeout
        if TIMEOUT_HEADER in req.headers:
            timeout_s = min(
                timeout_s, _parse_number(req.headers[TIMEOUT_HEADER], TIMEOUT_HEADER)
            )
        path = req.path.removeprefix("/v1/services")
        now = asyncio.get_running_loop().time()
        return Request(workload, path, req.body, key, now + timeout_s)

    async def _submit_job(self, req: HttpRequest, name: str) -> HttpResponse:
        if not self.daemon.is_ready:
            self.daemon.cell()
            raise Refusal(Reason.DRAINING, step="callers", retry_after=1.0)
        workload = self._find_workload(name)
        count = int(_parse_number(req.query.get("count", "1"), "count"))
        view = await self.daemon.jobs.submit(
            self.daemon.cell(), workload, count, req.body, _parse_idempotency_key(req)
        )
        return json_response(202, view)


def _parse_idempotency_key(req: HttpRequest) -> str:
    key = req.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARS or not key.isprintable():
        text = f"{KEY_HEADER} must be at most {MAX_KEY_CHARS} printable characters"
        raise Refusal(Reason.BAD_REQUEST, step="callers", message=text)
    return key


def _parse_number(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not 0 <= value <= 1e6:
        message = f"{name} must be a number from 0 to 1000000"
        raise Refusal(Reason.BAD_REQUEST, step="callers", message=message)
    return value
