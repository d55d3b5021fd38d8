from dataclasses import replace

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from shallotspindle_bundles import withdrawals
from shallotspindle_bundles.withdrawals import Withdrawal

KEY = Ed25519PrivateKey.from_private_bytes(b"k" * 32)
SIGNERS = {"astrid": KEY.public_key()}
ONE = withdrawals.sign(
    Withdrawal(b"a" * 32, "astrid", "lost laptop", "2026-12-04T10:00:00+00:00"), KEY
)
TWO = withdrawals.sign(replace(ONE, digest=b"b" * 32), KEY)


class TestSignature:
    def test_statement_of_a_known_person_is_valid(self):
        assert withdrawals.verify(ONE, SIGNERS) is None

    def test_statement_is_bound_to_the_key_and_the_person(self):
        # Guards against a signature that is moved to another key.
        assert withdrawals.verify(replace(ONE, digest=b"c" * 32), SIGNERS)
        assert withdrawals.verify(replace(ONE, reason="other"), SIGNERS)
        assert withdrawals.verify(ONE, {})
        assert withdrawals.verify(
            ONE, {"astrid": Ed25519PrivateKey.generate().public_key()}
        )

    def test_long_texts_are_refused(self):
        # Guards against a statement that fills the memory of all instances.
        long = withdrawals.sign(replace(ONE, reason="x" * 1000), KEY)
        assert withdrawals.verify(long, SIGNERS)


class TestSet:
    def test_set_grows_in_any_order_until_a_bundle_carries_it(self):
        # Guards against a message order that brings a withdrawn key back.
        known, added = withdrawals.merge({}, (TWO, ONE), frozenset())
        assert set(added) == {ONE, TWO}
        again, added = withdrawals.merge(known, (ONE,), frozenset())
        assert added == ()
        assert withdrawals.summarize(again) == withdrawals.summarize(
            (ONE.digest, TWO.digest)
        )
        kept = withdrawals.drop_carried(known, frozenset({ONE.digest}))
        assert set(kept) == {TWO.digest}
        assert withdrawals.merge(kept, (ONE,), frozenset({ONE.digest}))[1] == ()
