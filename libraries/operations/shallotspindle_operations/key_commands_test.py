import json

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from shallotspindle_bundles import withdrawals
from shallotspindle_bundles.withdrawals import Withdrawal
from shallotspindle_operations import key_commands
from shallotspindle_operations.fakes import run_server

DIGEST = b"a" * 32
WITHDRAWAL = withdrawals.sign(
    Withdrawal(DIGEST, "astrid", "lost laptop", "2026-12-04T10:00:00+00:00"),
    Ed25519PrivateKey.from_private_bytes(b"k" * 32),
)


class TestWithdrawal:
    @pytest.mark.parametrize(
        ("status", "text"),
        [
            (200, ""),
            (204, ""),
            (200, "{}"),
            (200, '"ok"'),
            (200, '{"withdrawn": true}'),
            (200, json.dumps({"withdrawn": (b"b" * 32).hex()})),
            (403, json.dumps({"withdrawn": DIGEST.hex()})),
        ],
        ids=["empty", "no-content", "object", "text", "flag", "another-key", "refused"],
    )
    async def test_only_an_instance_that_names_the_key_has_taken_it(self, status, text):
        # Guards against an operator who is told during a store outage that a key is
        # withdrawn although the address is not that of an instance.
        async with run_server(status, text) as address:
            taken, failed = await key_commands.send_withdrawal((address,), WITHDRAWAL)
        assert taken == []
        assert len(failed) == 1
        assert address in failed[0]

    async def test_the_response_of_an_instance_is_accepted(self):
        # Guards against a withdrawal in effect that is reported as failed.
        text = json.dumps({"withdrawn": DIGEST.hex()})
        async with run_server(200, text) as address:
            taken, failed = await key_commands.send_withdrawal((address,), WITHDRAWAL)
        assert (taken, failed) == ([address], [])
