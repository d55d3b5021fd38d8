from dataclasses import replace

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from shallotspindle_bundles import withdrawals
from shallotspindle_bundles.withdrawals import Withdrawal

KEY = Ed25519PrivateKey.from_private_bytes(b"k" * 32)
SIGNERS = {"astrid": KEY.public_key()}
FIRST = withdrawals.sign(
    Withdrawal(b"a" * 32, "astrid", "lost laptop", "2026-12-04T10:00:00+00:00"), KEY
)
SECOND = withdrawals.sign(replace(FIRST, digest=b"b" * 32), KEY)


class TestSignature:
    def test_withdrawal_by_a_known_person_is_valid(self):
        # Guards against a valid withdrawal that is rejected.
        assert withdrawals.verify(FIRST, SIGNERS) is None

    def test_signature_covers_all_fields_and_the_signer(self):
        # Guards against a signature that is copied to the withdrawal of another key.
        assert withdrawals.verify(replace(FIRST, digest=b"c" * 32), SIGNERS)
        assert withdrawals.verify(replace(FIRST, reason="other"), SIGNERS)
        assert withdrawals.verify(FIRST, {})
        assert withdrawals.verify(
            FIRST, {"astrid": Ed25519PrivateKey.generate().public_key()}
        )

    def test_long_texts_are_rejected(self):
        # Guards against a withdrawal that fills the memory of all instances.
        long_withdrawal = withdrawals.sign(replace(FIRST, reason="x" * 1000), KEY)
        assert withdrawals.verify(long_withdrawal, SIGNERS)


class TestWithdrawalSet:
    def test_withdrawals_accumulate_in_any_order_until_a_bundle_has_them(self):
        # Guards against a message order that makes a withdrawn key valid again.
        known, added = withdrawals.merge({}, (SECOND, FIRST), frozenset())
        assert set(added) == {FIRST, SECOND}
        merged, added = withdrawals.merge(known, (FIRST,), frozenset())
        assert added == ()
        assert withdrawals.summarize(merged) == withdrawals.summarize(
            (FIRST.digest, SECOND.digest)
        )
        remaining = withdrawals.drop_bundled(known, frozenset({FIRST.digest}))
        assert set(remaining) == {SECOND.digest}
        assert (
            withdrawals.merge(remaining, (FIRST,), frozenset({FIRST.digest}))[1] == ()
        )
