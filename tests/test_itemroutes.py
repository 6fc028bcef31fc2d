"""Items go by the routes of their own paths, or else of their job, in force now."""

from dataclasses import replace
from datetime import timedelta
from typing import Any

import pytest

from chivespan.batchchanges import AcceptJob
from chivespan.batchledger import Ledger
from chivespan.batchrecords import BatchItem
from chivespan.clock import ManualClock
from chivespan.itemeligibility import ABANDON_MARGIN
from chivespan.itemroutes import MAX_CACHED, ROUTE_END_DELAY, ItemRoutes
from chivespan.ledgerstore import Staged
from chivespan.nodemessages import ItemStart, ItemState
from chivespan.platform.documents import decode_config
from chivespan.routingstate import RoutingState
from tests.fleet import HOST, batch_route, config, route
from tests.test_batchowner import OwnerHarness, status
from tests.test_ledgerstore import SUBMITTED

pytestmark = pytest.mark.anyio

SPLIT = "/b/3/"
WHOLE = batch_route(pathPrefix="/b/", retentionS=60, dueMs=18_000, maxAttempts=3)


def split_route(**fields: Any) -> dict[str, Any]:
    """Return a route that is split off from ``WHOLE``, with another service."""
    fields = {"pathPrefix": SPLIT, "service": "other", "name": "r-split"} | fields
    return batch_route() | fields


def job(
    *paths: str,
    config_version: int = 0,
    route: str = "r-batch",
    path_prefix: str = "/b/",
) -> AcceptJob:
    """Return a job with one item for each path, named j-0 and so on.

    :param route: name of the route by which it is accepted, at ``path_prefix``.
    """
    items = (
        BatchItem(item_id=f"j-{n}", path=path, headers=[], body=b"x", tokens=1)
        for n, path in enumerate(paths)
    )
    return AcceptJob(
        "j",
        route,
        HOST,
        tuple(items),
        SUBMITTED,
        0,
        1000,
        config_version,
        path_prefix=path_prefix,
    )


async def owner_of(change: AcceptJob) -> OwnerHarness:
    harness = OwnerHarness()
    harness.configure(1, WHOLE)
    harness.clock.advance(SUBMITTED - harness.clock.now())
    await harness.accept_job(change)
    return harness


def services(harness: OwnerHarness) -> dict[str, str]:
    return {each.item_id: each.service for each in harness.owner.waiting()}


def given_up(harness: OwnerHarness) -> list[str]:
    harness.owner.fail_abandoned_items()
    harness.clock.advance(ROUTE_END_DELAY)
    harness.owner.fail_abandoned_items()
    return [each.item_id for each in harness.owner._finished]


# Guards against: all items of a job go by the route of the first one, to a service that
# no configuration allows the others (review case 4, ROUTE).
async def test_each_item_goes_to_the_service_of_its_own_path() -> None:
    harness = await owner_of(job("/b/3/1", "/b/1", "/b/4/1"))
    old = set(services(harness).values())
    harness.configure(2, WHOLE, split_route())
    assert services(harness) == {"j-0": "other", "j-1": "svc", "j-2": "svc"}
    assert old == {"svc"}
    assert harness.owner.services() == {"svc", "other"}
    harness.configure(3, WHOLE)
    assert set(services(harness).values()) == {"svc"}


# Guards against: a job ends as failed as a whole when its first item has no route.
async def test_only_items_without_a_route_are_given_up() -> None:
    harness = await owner_of(job("/b/3/1", "/b/1"))
    harness.configure(2, split_route())
    assert given_up(harness) == ["j-1"]
    assert services(harness) == {"j-0": "other"}


# Guards against: retention, due time and attempts of the first item's route are those
# of all items.
async def test_limits_are_those_of_the_route_of_each_item() -> None:
    harness = await owner_of(job("/b/1", "/b/3/1"))
    harness.configure(2, WHOLE, split_route(retentionS=0, dueMs=1000, maxAttempts=1))
    whole, split = harness.owner.waiting()
    assert whole.due - split.due == timedelta(seconds=17)
    assert (whole.abandoned_at is None, split.abandoned_at is None) == (False, True)
    harness.start("n1")
    for item in ("j-0", "j-1"):
        failed = replace(status(ItemState.failed), item_id=item)
        harness.owner.handle_status("n1", failed)
    assert [each.item_id for each in harness.owner._finished] == ["j-1"]
    harness.clock.advance(timedelta(seconds=60) + 2 * ABANDON_MARGIN)
    assert given_up(harness) == ["j-1", "j-0"]


# Guards against: a node whose configuration lags behind gives up a job that was
# accepted on a route which it doesn't know yet.
async def test_owner_with_an_older_configuration_gives_nothing_up() -> None:
    change = job("/c/1", config_version=7, route="r-c", path_prefix="/c/")
    harness = await owner_of(change)
    harness.configure(6, WHOLE)
    assert services(harness) == {}
    assert given_up(harness) == []
    harness.configure(7, WHOLE, WHOLE | {"pathPrefix": "/c/", "name": "r-c"})
    assert services(harness) == {"j-0": "svc"}
    harness.configure(8, WHOLE)
    assert given_up(harness) == ["j-0"]


# Guards against: an item is given up as its route has ended, when the operator doesn't
# know yet that this configuration is in force, or the next one has the route again.
async def test_item_is_given_up_only_when_its_route_stays_away() -> None:
    harness = await owner_of(job("/b/1"))
    for version in (2, 4, 6):
        harness.configure(version, split_route())
        harness.owner.fail_abandoned_items()
        harness.clock.advance(ROUTE_END_DELAY * 0.9)
        harness.owner.fail_abandoned_items()
        assert services(harness) == {}
        harness.configure(version + 1, WHOLE)
        assert services(harness) == {"j-0": "svc"}
    assert given_up(harness) == []
    harness.configure(8, split_route())
    assert given_up(harness) == ["j-0"]


def online_route(**fields: Any) -> dict[str, Any]:
    """Return an online route with another service over a part of ``WHOLE``."""
    return route("r-online", SPLIT, **({"service": "other"} | fields))


# Guards against: accepted items are given up, and none of a new job starts, when a new
# online route has the items' paths, though their job's route stays (review case 12).
async def test_items_under_a_new_online_route_go_by_the_route_of_their_job() -> None:
    harness = await owner_of(job("/b/3/1", "/b/1"))
    harness.configure(2, WHOLE, online_route())
    assert services(harness) == {"j-0": "svc", "j-1": "svc"}
    assert harness.owner.services() == {"svc"}
    assert given_up(harness) == []
    moved = WHOLE | {"service": "new", "maxAttempts": 1}
    harness.configure(3, moved, online_route())
    assert services(harness) == {"j-0": "new", "j-1": "new"}
    harness.start("n1")
    harness.owner.handle_status("n1", status(ItemState.failed))
    assert [each.item_id for each in harness.owner._finished] == ["j-0"]
    harness.configure(4, online_route())
    assert given_up(harness) == ["j-0", "j-1"]


# Guards against: a job is answered 202, and its items are then given up, as their paths
# belong to an online route or to none.
@pytest.mark.parametrize("path", ["/b/3/1", "/elsewhere/1"])
async def test_items_of_an_accepted_job_run_whatever_their_paths(path: str) -> None:
    harness = await owner_of(job(path))
    harness.configure(2, WHOLE, online_route())
    assert services(harness) == {"j-0": "svc"}
    assert given_up(harness) == []


# Guards against: a job's route counts as ended when it has another name, or another
# prefix or host under the same name.
@pytest.mark.parametrize(
    ("change", "host"),
    [
        ({"name": "r-new"}, HOST),
        ({"pathPrefix": "/new/"}, HOST),
        ({"host": "new.example"}, "new.example"),
    ],
)
async def test_renamed_or_moved_route_has_not_ended(
    change: dict[str, Any], host: str
) -> None:
    harness = await owner_of(job("/b/3/1"))
    harness.configure(2, WHOLE | change, online_route())
    assert [(each.service, each.host) for each in harness.owner.waiting()] == [
        ("svc", host)
    ]
    assert given_up(harness) == []
    harness.start("n1")
    ((_, message),) = harness.sent
    assert isinstance(message, ItemStart)
    assert message.host == host


# Guards against: another route that takes over the name of a job's route, which has
# got a new name itself, also gets the job's items.
async def test_route_at_the_same_place_goes_before_one_of_the_same_name() -> None:
    harness = await owner_of(job("/b/3/1"))
    other = batch_route(pathPrefix="/new/", service="other")
    harness.configure(2, WHOLE | {"name": "r-new"}, other, online_route())
    assert services(harness) == {"j-0": "svc"}


# Guards against: a job accepted by a node of the last release, which stores no prefix,
# loses its items under a new online route all the same.
async def test_route_of_a_job_of_the_last_release_is_found_by_its_name() -> None:
    harness = await owner_of(job("/b/3/1", path_prefix=""))
    harness.configure(2, WHOLE, online_route())
    assert services(harness) == {"j-0": "svc"}
    assert given_up(harness) == []


# Guards against: a job's route counts as a batch route when an online route has taken
# its place and its name.
async def test_route_that_has_become_an_online_route_has_ended() -> None:
    harness = await owner_of(job("/b/1"))
    harness.configure(2, route("r-batch", "/b/"))
    assert services(harness) == {}
    assert given_up(harness) == ["j-0"]


# Guards against: an item is given up before its route's retention is over, by a clock
# that is ahead, when its job was accepted by one that is behind (issue 37, MIXED).
async def test_item_is_kept_however_the_two_clocks_differ() -> None:
    harness = await owner_of(job("/b/1"))
    ahead, behind = timedelta(seconds=2.5), timedelta(seconds=2.5)
    harness.clock.advance(timedelta(seconds=60) + ahead + behind)
    harness.owner.fail_abandoned_items()
    assert not harness.owner._finished
    harness.clock.advance(2 * ABANDON_MARGIN)
    assert given_up(harness) == ["j-0"]


async def test_status_of_an_unknown_item_is_answered_with_a_stop() -> None:
    harness = await owner_of(job("/b/1"))
    unknown = replace(status(ItemState.failed), item_id="j-9")
    harness.owner.handle_status("n1", unknown)
    assert len(harness.sent) == 1
    assert harness.waiting() == ["j-0"]


def test_cached_routes_are_bounded() -> None:
    routing = RoutingState(decode_config)
    routing.apply_if_newer(config(1, WHOLE), "test")
    routes = ItemRoutes(routing, ManualClock())
    ledger = Ledger()
    paths = [f"/b/{n}/x" for n in range(MAX_CACHED + 5)]
    for record in job(*paths).records(ledger, Staged()):
        ledger.apply(record)
    assert routes.services(ledger.open_jobs()) == {"svc"}
    assert len(routes._routes) <= MAX_CACHED
