"""Problem documents (RFC 9457) for the errors of the product."""

from typing import Any

import msgspec
from aiohttp import web

from greengagepoint.errors import GreengagepointError, RecordError
from greengagepoint_node.http.const import (
    HEADER_RAN,
    HEADER_REQUEST_ID,
    PROBLEM_CONTENT_TYPE,
)

PROBLEM_TYPE_PREFIX = "urn:greengagepoint:error:"

encode_json = msgspec.json.Encoder().encode


def problem_document(error: GreengagepointError, request_id: str) -> dict[str, Any]:
    """Return the members of the problem document for an error."""
    document: dict[str, Any] = {
        "type": f"{PROBLEM_TYPE_PREFIX}{error.kind}",
        "title": error.answer.title,
        "status": error.answer.status,
        "detail": error.detail,
        "kind": error.kind,
        "ran": error.ran,
        "request_id": request_id,
    }
    if isinstance(error, RecordError):
        document["record"] = error.record
        document["source"] = error.source
        document["field"] = error.field
        document["line"] = error.line
        document["accepted"] = error.accepted
    return document


def problem_response(error: GreengagepointError, request_id: str = "") -> web.Response:
    """Return the response for an error, with Retry-After if a retry may help."""
    headers = {HEADER_RAN: str(error.ran)}
    if request_id:
        headers[HEADER_REQUEST_ID] = request_id
    if error.retry_after_seconds is not None:
        headers["Retry-After"] = str(error.retry_after_seconds)
    return web.Response(
        status=error.answer.status,
        headers=headers,
        body=encode_json(problem_document(error, request_id)),
        content_type=PROBLEM_CONTENT_TYPE,
    )


def json_response(document: object, status: int = 200) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        status=status, body=encode_json(document), content_type="application/json"
    )
