"""HTTP responses for refusals, and JSON responses."""

from __future__ import annotations

import math

import msgspec

from siskinroad.errors import Outcome, Reason, Refusal
from siskinroad.httpd import HttpResponse

__all__ = ["RefusalBody", "json_response", "refusal_response"]

# HTTP status by reason of a refusal. Any other reason gives 503 if the request was
# not run, and 504 if its outcome is unknown.
STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.KEY_IN_PROGRESS: 409,
    Reason.KEY_REUSED: 409,
    Reason.KEY_REQUIRED: 400,
    Reason.CAN_NEVER_RUN: 422,
    Reason.QUOTA: 429,
    Reason.QUEUE_FULL: 429,
    Reason.SHED: 429,
    Reason.INTERNAL: 500,
}
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class RefusalBody(msgspec.Struct, frozen=True):
    """JSON body of a refusal; ``retry_after`` is in seconds."""

    reason: str
    step: str
    outcome: str
    retry_after: float
    message: str


def json_response(status: int, value: object) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status, msgspec.json.encode(value))


def refusal_response(exc: Refusal) -> HttpResponse:
    """Return the HTTP response for a refusal."""
    body = RefusalBody(
        exc.reason.value,
        exc.step,
        exc.outcome.value,
        round(exc.retry_after, 3),
        exc.message,
    )
    default = UNAVAILABLE if exc.outcome is Outcome.NOT_RUN else GATEWAY_TIMEOUT
    headers: tuple[tuple[str, str], ...] = ()
    if exc.retry_after > 0:
        headers = (("retry-after", str(math.ceil(exc.retry_after))),)
    return HttpResponse(
        STATUS_BY_REASON.get(exc.reason, default),
        msgspec.json.encode(body),
        headers=headers,
    )
