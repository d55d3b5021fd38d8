"""Runs a gateway whose datagrams to and from other gateways can be dropped.

Usage: ``python -m shallotspindle_soak.cutting``; never used by a deployment. The soak
writes the directions to drop into the file that the environment names. Without
privileges a host cannot drop the datagrams between two processes from outside.
"""

import importlib
import os
import sys
from pathlib import Path

from shallotspindle_adapter import main as adapter
from shallotspindle_environment.reloads import EarlyReloads

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
    peers = importlib.import_module("shallotspindle_gateway.peers").PeerTransport
    write, receive = peers._write, peers._receive

    def write_unless_cut(self, address, envelope):
        if SENT not in read_cuts(path):
            write(self, address, envelope)

    def receive_unless_cut(self, data, source):
        if RECEIVED not in read_cuts(path):
            receive(self, data, source)

    peers._write = write_unless_cut
    peers._receive = receive_unless_cut


def main() -> int:
    """Run the gateway."""
    # As the gateway's own program does before it imports its libraries.
    EarlyReloads().install_handler()
    install(Path(os.environ[CUTS_VARIABLE]))
    return adapter.main()


if __name__ == "__main__":
    sys.exit(main())
