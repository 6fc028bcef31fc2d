"""Customers of a fleet: their identity, quotas and shares of scarce capacity.

Begin with ``customer`` and follow a request: ``keys`` and ``identity`` tell who sends
it, ``quota`` and ``quotausage`` whether the customer's quota admits it, and
``fairshare`` how long it may wait when targets have too little capacity. The package
does no I/O other than logging; it imports message classes and the metrics library.
Every decision can therefore be tested without a network.
"""
