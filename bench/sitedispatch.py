"""Runs the dispatcher with policies given as JSON in its first argument.

The product has no setting for its policies; only the benchmark compares them.
"""

import sys

import msgspec

from chivespan import dispatch_main
from chivespan.policies import Policies

MODULE = "bench.sitedispatch"


def launch_arguments(policies: Policies) -> tuple[str, ...]:
    """Return the module and argument that start a dispatcher with these policies."""
    return MODULE, msgspec.json.encode(policies).decode()


def main() -> None:
    """Read the policies from the command line and run the dispatcher."""
    policies = msgspec.json.decode(sys.argv.pop(1), type=Policies)
    dispatch_main.main(policies)


if __name__ == "__main__":
    main()
