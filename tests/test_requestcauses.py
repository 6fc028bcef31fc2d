"""The table of requests by outcome and cause."""

from tools.requestcauses import log_lines, request_records, table

LOG = """\
played in 3 s
 1.5 node-1 {"event":"send_failed","request":"a","outcome":"broken","reason":"10.0.0.1:80"}
 1.6 node-1 {"event":"request_ended","request":"a","outcome":"delivered","targets":["t"],"last_event":9}
 1.7 node-2 {"event":"send_failed","request":"b","outcome":"broken","reason":"10.0.0.2:80"}
 1.8 node-2 {"event":"request_ended","request":"b","outcome":"delivered","targets":["t"],"last_event":3}
{"event":"request_ended","request":"c","outcome":"no_capacity","targets":[],"last_event":0}
 2.0 node-1 {"event":"cut li
"""  # noqa: E501


def test_requests_with_the_same_cause_are_counted_together() -> None:
    records = request_records(log_lines(LOG.splitlines()))
    rows = [row.split(maxsplit=1) for row in table(records.values())]
    assert rows[0] == ["2", "delivered        in the response  broken: X"]
    assert rows[1] == ["1", "no_capacity      not sent         -"]
