"""HTTP answers: typed bodies in JSON, and errors as the table of kinds says."""

from math import ceil

import msgspec
from starlette.responses import Response

from chivespan.errorbody import error_answer
from chivespan.errors import ChivespanError

JSON_TYPE = "application/json"


def json_response(body: object, status: int = 200) -> Response:
    """Return an answer with a typed body."""
    return Response(msgspec.json.encode(body), status, media_type=JSON_TYPE)


def error_response(error: ChivespanError, request_id: str) -> Response:
    """Return the HTTP answer for an error, with when to come back."""
    response = json_response(error_answer(error, request_id), error.answer.status)
    response.headers["x-request-id"] = request_id
    if error.retry_after is not None:
        seconds = ceil(error.retry_after.total_seconds())
        response.headers["retry-after"] = str(seconds)
    if error.answer.status == 401:
        response.headers["www-authenticate"] = "Bearer"
    return response
