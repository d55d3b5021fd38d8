"""Runs a gateway whose datagrams to and from other gateways can be dropped.

Usage: ``python -m shallotspindle_soak.cutting``; never used by a deployment. The soak
writes the directions to drop into the file that the environment names. Without
privileges a host cannot drop the datagrams between two processes from outside.
"""

import os
import sys
from pathlib import Path

from shallotspindle_adapter import main as adapter
from shallotspindle_gateway.peers import Peers

CUTS_VARIABLE = "SHALLOTSPINDLE_SOAK_CUTS"
SENT = "sent"
RECEIVED = "received"


def read_cuts(path: Path) -> frozenset[str]:
    """Return the directions that are cut now."""
    try:
        return frozenset(path.read_text().split())
    except OSError:
        return frozenset()


def install(path: Path) -> None:
    """Let the file decide which datagrams are dropped."""
    write, receive = Peers._write, Peers._receive

    def write_unless_cut(self, address, envelope):
        if SENT not in read_cuts(path):
            write(self, address, envelope)

    def receive_unless_cut(self, data, source):
        if RECEIVED not in read_cuts(path):
            receive(self, data, source)

    Peers._write = write_unless_cut
    Peers._receive = receive_unless_cut


def main() -> int:
    """Run the gateway."""
    install(Path(os.environ[CUTS_VARIABLE]))
    return adapter.main()


if __name__ == "__main__":
    sys.exit(main())
