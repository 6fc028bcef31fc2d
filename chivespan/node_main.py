"""Entry point of chivespan-node, which runs as one process on every VM of a fleet.

SIGHUP, which says that the settings have changed, may come at any time, and ends a
process by default. It is therefore ignored before the modules of the node are imported,
which takes most of the start. The node reads the settings again once it handles it.
"""

import signal


def main() -> None:
    """Run a node."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from chivespan.nodeprocess import run

    run()


if __name__ == "__main__":
    main()
