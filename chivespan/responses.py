"""HTTP responses with a JSON body, and error responses by error kind."""

from math import ceil

import msgspec
from starlette.responses import Response

from chivespan.errorbody import error_answer
from chivespan.errors import ChivespanError

JSON_TYPE = "application/json"


def json_response(body: object, status: int = 200) -> Response:
    """Return a response whose body is ``body`` encoded as JSON."""
    return Response(msgspec.json.encode(body), status, media_type=JSON_TYPE)


def error_response(error: ChivespanError, request_id: str) -> Response:
    """Return the HTTP response for an error, with ``Retry-After`` where it is set."""
    response = json_response(error_answer(error, request_id), error.properties.status)
    response.headers["x-request-id"] = request_id
    if error.retry_after is not None:
        seconds = ceil(error.retry_after.total_seconds())
        response.headers["retry-after"] = str(seconds)
    if error.properties.status == 401:
        response.headers["www-authenticate"] = "Bearer"
    return response
