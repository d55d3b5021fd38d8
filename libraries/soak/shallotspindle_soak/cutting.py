"""Runs a gateway whose datagrams to and from other gateways can be dropped.

Usage: ``python -m shallotspindle_soak.cutting``; deployments never use it. The soak
test writes the directions to drop into a file that an environment variable names.
Dropping datagrams between two processes from outside would need privileges on the host.
"""

import importlib
import os
import sys
from pathlib import Path

from shallotspindle_adapter import main as adapter
from shallotspindle_environment.reloads import EarlyReloads

CUT_FILE_VARIABLE = "SHALLOTSPINDLE_SOAK_CUTS"
SENT = "sent"
RECEIVED = "received"


def read_cut_directions(path: Path) -> frozenset[str]:
    """Return the directions in which datagrams are dropped now."""
    try:
        return frozenset(path.read_text().split())
    except OSError:
        return frozenset()


def install_cuts(path: Path) -> None:
    """Make the peer transport drop datagrams in the directions that the file names."""
    transport = importlib.import_module("shallotspindle_gateway.peers").PeerTransport
    write, receive = transport._write, transport._receive

    def write_unless_cut(self, address, envelope):
        if SENT not in read_cut_directions(path):
            write(self, address, envelope)

    def receive_unless_cut(self, data, sender_address):
        if RECEIVED not in read_cut_directions(path):
            receive(self, data, sender_address)

    transport._write = write_unless_cut
    transport._receive = receive_unless_cut


def main() -> int:
    """Run the gateway."""
    # The gateway's own program does the same before it imports its libraries.
    EarlyReloads().install_handler()
    install_cuts(Path(os.environ[CUT_FILE_VARIABLE]))
    return adapter.main()


if __name__ == "__main__":
    sys.exit(main())
