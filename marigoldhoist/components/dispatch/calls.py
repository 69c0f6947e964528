"""Build upstream calls from caller requests."""

import msgspec

from marigoldhoist.components.dispatch.const import (
    CHAT_PATH,
    DEADLINE_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    RESUME_HEADER,
)
from marigoldhoist.components.upstreams.models import UpstreamCall
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.decoding import decode_json
from marigoldhoist.core.exchange import CallerRequest


def serving_name(request: CallerRequest, version: str) -> str:
    """Return `model/version`, or the service name without a version."""
    return f'{request.target}/{version}' if version else request.target


def upstream_call(
    request: CallerRequest, version: str, resume_from: int, priority: int
) -> UpstreamCall:
    """Return the upstream call for one attempt.

    For a model request, the body's `model` field is set to the selected
    version. Engines serve lower priority values first.
    """
    body = request.body
    path = request.path
    if version:
        path = CHAT_PATH
        body = _with_model(body, serving_name(request, version))
    headers = {
        'Content-Type': request.content_type,
        REQUEST_ID_HEADER: request.request_id,
        DEADLINE_HEADER: str(int(request.time_left_s * MS_PER_S)),
        PRIORITY_HEADER: str(priority),
    }
    if resume_from:
        headers[RESUME_HEADER] = str(resume_from)
    return UpstreamCall(
        method=request.method,
        path=path,
        headers=headers,
        body=body,
        timeout_s=request.time_left_s,
        is_streamed=request.is_streamed,
    )


def _with_model(body: bytes, serving: str) -> bytes:
    fields = decode_json(body, dict[str, msgspec.Raw])
    fields['model'] = msgspec.Raw(msgspec.json.encode(serving))
    return msgspec.json.encode(fields)
