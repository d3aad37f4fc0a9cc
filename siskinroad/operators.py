"""HTTP API for operators: cell files, read-only views, health and metrics."""

from __future__ import annotations

import hmac
import logging
from typing import TYPE_CHECKING

from siskinroad.cell import diff, parse_cell
from siskinroad.errors import ConfigError, ConflictError, PlatformError, Refusal
from siskinroad.httpd import HttpRequest, HttpResponse
from siskinroad.replies import json_response
from siskinroad.settings import hash_token
from siskinroad.status import build_report, build_status, list_queue
from siskinroad.waits import WaitReason, WaitSummary

if TYPE_CHECKING:
    from siskinroad.entry import Daemon

__all__ = ["OperatorApi"]

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Paths that are served without a token.
OPEN_PATHS = ("/healthz", "/readyz", "/metrics")
# Largest cell file, and largest body of another request, which needs none, in bytes.
MAX_CELL_BODY = 8 << 20
MAX_OTHER_BODY = 4096

log = logging.getLogger("siskinroad.operators")


class OperatorApi:
    """Request handler of the operators' listener.

    All paths except health and metrics need the operators' token, if one is set.
    """

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon

    def limit_body(self, method: str, path: str) -> int:
        """Return the largest body of a request, before it is read."""
        return MAX_CELL_BODY if path == "/v1/cell" else MAX_OTHER_BODY

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        if req.path not in OPEN_PATHS and not self._is_authorized(req):
            self.daemon.metrics.refusals.labels("unauthorized", "operators").inc()
            return json_response(401, {"error": "bearer token is missing or wrong"})
        try:
            return await self._route(req)
        except ConfigError as exc:
            problems = [str(problem) for problem in exc.problems]
            return json_response(422, {"error": "not valid", "problems": problems})
        except ConflictError as exc:
            revision = self.daemon.configuration.revision
            body = {"error": exc.message, "revision": revision}
            return json_response(409, body)
        except PlatformError as exc:
            text = f"unknown whether the file is in force: {exc}; apply it again"
            return json_response(504, {"error": text})

    def _is_authorized(self, req: HttpRequest) -> bool:
        expected_hash = self.daemon.cfg.operator_token_sha256
        if not expected_hash:
            return True
        scheme, _, token = req.headers.get("authorization", "").partition(" ")
        return scheme.lower() == "bearer" and hmac.compare_digest(
            hash_token(token), expected_hash
        )

    async def _route(self, req: HttpRequest) -> HttpResponse:
        daemon = self.daemon
        match (req.method, req.path):
            case ("GET", "/healthz"):
                return json_response(200, {"state": daemon.state})
            case ("GET", "/readyz"):
                return json_response(200 if daemon.is_ready else 503, daemon.state)
            case ("GET", "/metrics"):
                self._update_gauges()
                return HttpResponse(200, daemon.metrics.render(), METRICS_TYPE)
            case ("GET", "/v1/status"):
                return json_response(200, build_status(daemon))
            case ("GET", "/v1/queue"):
                return json_response(200, list_queue(daemon))
            case ("GET", "/v1/report"):
                return json_response(200, build_report(daemon))
            case ("GET", path) if path.startswith("/v1/explain/"):
                key = path.removeprefix("/v1/explain/")
                return json_response(200, {"text": await self._explain(key)})
            case (method, "/v1/cell"):
                return await self._handle_cell(method, req)
        return json_response(
            404, {"error": f"no route for {req.method} {req.path[:80]}"}
        )

    async def _explain(self, key: str) -> str:
        try:
            return await self.daemon.jobs.explain(key)
        except Refusal as exc:
            return f"{key}: {exc}."

    async def _handle_cell(self, method: str, req: HttpRequest) -> HttpResponse:
        config = self.daemon.configuration
        text = req.body.decode("utf-8", "replace")
        match method:
            case "GET":
                body = {"revision": config.revision, "text": config.text}
                return json_response(200, body)
            case "POST":
                cell = parse_cell(text)
                config.check_no_host_moves(cell)
                lines = diff(config.cell, cell)
                return json_response(200, {"revision": config.revision, "diff": lines})
            case "PUT":
                expect = req.query.get("expect")
                if expect is not None and not expect.isdecimal():
                    return json_response(
                        400, {"error": "expect must be a revision number"}
                    )
                expected_revision = int(expect) if expect is not None else None
                applied = await self.daemon.publisher.apply(text, expected_revision)
                log.info("operators: revision %d applied", applied.revision)
                return json_response(200, applied)
        return json_response(405, {"error": "method not allowed; use GET, POST or PUT"})

    def _update_gauges(self) -> None:
        daemon = self.daemon
        metrics = daemon.metrics
        used = [0, 0, 0]
        capacity = [0, 0, 0]
        for owner in daemon.shards.owners.values():
            owner_used, owner_capacity = owner.usage_and_capacity()
            for i, name in enumerate(("cpu_milli", "memory_mib", "accelerators")):
                used[i] += getattr(owner_used, name)
                capacity[i] += getattr(owner_capacity, name)
        for i, name in enumerate(("processors", "memory", "accelerators")):
            ratio = used[i] / capacity[i] if capacity[i] else 0.0
            metrics.packing_ratio.labels(name).set(ratio)
        self._update_wait_gauges()
        for kind, size in daemon.peers.traffic.bytes_sent.items():
            distance = "far" if kind == "Digest" else "near"
            metrics.peer_sent_bytes.labels(kind, distance).set(size)

    def _update_wait_gauges(self) -> None:
        """Set the gauges of all reasons, also of those that no longer hold."""
        totals = {reason: WaitSummary() for reason in WaitReason}
        for owner in self.daemon.shards.owners.values():
            for reason, summary in owner.waits.sum_up().items():
                totals[reason].add(summary.count, summary.longest_s)
        metrics = self.daemon.metrics
        for reason, total in totals.items():
            metrics.waiting_items.labels(reason.value).set(total.count)
            metrics.longest_wait_seconds.labels(reason.value).set(total.longest_s)
