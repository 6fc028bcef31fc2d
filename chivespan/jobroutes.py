"""Finds the route by which a batch job was accepted in later configurations.

A route keeps its place, its host and path prefix, when it gets another name, and its
name when it gets another place. It has ended when neither is there any more.
"""

from chivespan.batchrecords import BatchJob
from chivespan.routes import Route, RouteKind, RoutingTable


def job_route(table: RoutingTable, head: BatchJob) -> Route | None:
    """Return the batch route by which a job was accepted, as it is in a table.

    :param head: of the job. One by an earlier release doesn't tell the place of its
        route, which is then found by its name only.
    :returns: None if the table has it no more.
    """
    at_place = table.route_at(head.host, head.path_prefix)
    if at_place is not None and at_place.kind is RouteKind.BATCH:
        return at_place
    named = table.route_named(head.route)
    if named is not None and named.kind is RouteKind.BATCH:
        return named
    return None
