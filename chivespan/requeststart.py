"""Computes the deadline and the initial state of an online request."""

from datetime import timedelta
from random import Random

from chivespan.callerrequest import CallerRequest, parse_milliseconds
from chivespan.platform import wire
from chivespan.requestprogress import Progress
from chivespan.responserelay import splitter_for
from chivespan.routes import Route
from chivespan.suspects import request_suspect


def request_deadline(request: CallerRequest, route: Route) -> timedelta:
    """Return the monotonic time by which the complete response is due."""
    deadline = parse_milliseconds(request.header(wire.DEADLINE_MS))
    timeout = route.timeout if deadline is None else min(route.timeout, deadline)
    return request.arrived + timeout


def initial_progress(request: CallerRequest, route: Route, random: Random) -> Progress:
    """Return the state of a request before its first attempt.

    :param random: selects one of the route's services.
    """
    return Progress(
        request_deadline(request, route),
        route.pick_service(random),
        wire.shared_prompt_parts(request.headers),
        _fingerprint(request),
        splitter=splitter_for(
            route,
            request.header(wire.LAST_EVENT_ID),
            wire.max_output_tokens(request.headers),
        ),
    )


def _fingerprint(request: CallerRequest) -> str:
    return request_suspect(
        [
            request.method.encode(),
            request.host.encode(),
            request.target,
            *wire.fingerprint_headers(request.headers),
            request.body,
        ]
    )
