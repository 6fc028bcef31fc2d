"""Routing table: split by weight, and versions that only increase."""

import json
from collections import Counter
from random import Random

from chivespan.platform.documents import decode_config
from chivespan.routes import ServiceShare, example_route
from chivespan.routingstate import RoutingState
from tests.fleet import config, route


def test_older_version_never_replaces_a_newer_one() -> None:
    state = RoutingState(decode_config)
    state.apply_if_newer(config(5), "store")
    state.apply_if_newer(config(4, route("r", "/old/")), "peer")
    state.apply_if_newer(b"not a document", "store")
    assert state.version == 5
    assert state.table is not None
    assert state.table.find("caller.example", "/old/x") is None
    assert state.document_newer_than(5) == b""
    assert json.loads(state.document_newer_than(4))["version"] == 5


def test_requests_are_split_by_weight() -> None:
    shares = (ServiceShare("s", 90), ServiceShare("t", 10))
    split = example_route()
    object.__setattr__(split, "shares", shares)
    random = Random(1)
    drawn = Counter(split.pick_service(random) for _ in range(1000))
    assert 850 < drawn["s"] < 950
