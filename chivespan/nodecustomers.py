"""The parts of a node that know customers: quotas, who is heard, and revocation."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from random import Random

from chivespan.calleridentity import CallerIdentity
from chivespan.clock import Clock
from chivespan.customers.customer import Customer
from chivespan.customers.heard import HeardNodes
from chivespan.customers.keys import CustomerKeys
from chivespan.customers.quota import QuotaLimiter
from chivespan.customers.quotausage import QuotaUsage
from chivespan.customers.revocation import RevocationPolicy
from chivespan.fleetlinks import FleetLinks
from chivespan.fleetwatch import CONFIG_READ_WAIT
from chivespan.nodemessages import NodeValue
from chivespan.nodemetrics import NodeMetrics
from chivespan.nodesettings import FleetNodeSettings
from chivespan.quotareports import QuotaReports
from chivespan.reportwatch import ReportWatch
from chivespan.routingstate import RoutingState

# Of the time after which an unconfirmed configuration admits no keys.
CONFIG_READ_WAIT_SHARE = 0.25


class NodeCustomers:
    """Builds and holds what one node knows of customers.

    Without customers in force, none of its parts does anything.
    """

    def __init__(
        self, settings: FleetNodeSettings, routing: RoutingState, clock: Clock
    ) -> None:
        self._routing = routing
        self._clock = clock
        self.heard = HeardNodes(
            clock,
            settings.vm,
            timedelta(seconds=settings.quota_window_s),
            settings.quota_overage,
        )
        self.usage = QuotaUsage(
            clock, self.find, self.heard.share, settings.quota_slack
        )
        self.limiter = QuotaLimiter(
            self.usage, self.heard.share, settings.quota_slack, clock, Random()
        )
        self.reports = QuotaReports(self.usage, clock)
        self.revocation = RevocationPolicy(
            settings.strict_revocation, timedelta(milliseconds=settings.revocation_ms)
        )

    @property
    def in_force(self) -> CustomerKeys | None:
        """The customers of the configuration; None if it names none."""
        table = self._routing.table
        return None if table is None else table.customers

    @property
    def config_read_wait(self) -> timedelta:
        """How long a read may wait and still confirm the configuration in time."""
        if not self.revocation.is_strict:
            return CONFIG_READ_WAIT
        longest = self.revocation.longest_age * CONFIG_READ_WAIT_SHARE
        return min(CONFIG_READ_WAIT, longest)

    def are_known(self) -> bool:
        """Return whether the configuration names customers."""
        return self.in_force is not None

    def find(self, name: str) -> Customer | None:
        """Return the customer in force with a name."""
        customers = self.in_force
        return None if customers is None else customers.find_name(name)

    def identity(self, config_age: Callable[[], timedelta]) -> CallerIdentity:
        """Return what identifies callers.

        :param config_age: returns the time since the configuration was confirmed.
        """
        return CallerIdentity(self.revocation, config_age)

    def report_watch(
        self, links: FleetLinks, remote_nodes: Callable[[], Iterable[NodeValue]]
    ) -> ReportWatch:
        """Return what tells which nodes' reports reach this one.

        :param remote_nodes: returns the live nodes that have no link to this one.
        """
        return ReportWatch(
            links, self.heard, self.reports, self._clock, remote_nodes, self.are_known
        )

    def update_gauges(self, metrics: NodeMetrics) -> None:
        """Set the levels that operators see."""
        customers = self.in_force
        metrics.gauge("customers", customers.customer_count if customers else 0)
        metrics.gauge("customer_keys", customers.key_count if customers else 0)
        if customers is not None:
            metrics.gauge("quota_share_heard", self.heard.share())
            metrics.gauge("nodes_heard", self.heard.heard)
            metrics.gauge("nodes_known", self.heard.known)
