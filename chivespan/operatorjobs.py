"""HTTP API for operators to list, show and cancel the batch jobs of any owner."""

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from chivespan.batchapi import Jobs, batch_job
from chivespan.callerapi import BatchJobList
from chivespan.entrycontext import EntryContext
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.httpapi import Handler, with_error_responses
from chivespan.responses import json_response


class OperatorJobs:
    """Handlers of the operators' batch jobs API; one per process."""

    def __init__(self, context: EntryContext, jobs: Jobs) -> None:
        self._context = context
        self._jobs = jobs

    def routes(self) -> list[BaseRoute]:
        """Return the routes of all handlers."""
        return [
            self._route("/operator/jobs/{owner}", self._list, "GET"),
            self._route("/operator/jobs/{owner}/{id}", self._show, "GET"),
            self._route("/operator/jobs/{owner}/{id}/cancel", self._cancel, "POST"),
        ]

    def _route(self, path: str, handler: Handler, method: str) -> BaseRoute:
        return Route(
            path, with_error_responses(self._context, handler), methods=[method]
        )

    async def _list(self, request: Request) -> Response:
        self._context.authenticate_operator(request)
        owner = request.path_params["owner"]
        states = await self._jobs.states(owner)
        if not states and owner not in self._context.view.configuration.owners:
            raise ChivespanError(ErrorKind.UNKNOWN_OWNER, f"no owner {owner!r}")
        jobs = [batch_job(state) for state in states]
        return json_response(BatchJobList(object="list", data=jobs))

    async def _show(self, request: Request) -> Response:
        self._context.authenticate_operator(request)
        owner, job_id = request.path_params["owner"], request.path_params["id"]
        return json_response(batch_job(await self._jobs.state(owner, job_id)))

    async def _cancel(self, request: Request) -> Response:
        operator = self._context.authenticate_operator(request)
        owner, job_id = request.path_params["owner"], request.path_params["id"]
        reason = f"cancelled by operator {operator.name}"
        return json_response(batch_job(await self._jobs.cancel(owner, job_id, reason)))
