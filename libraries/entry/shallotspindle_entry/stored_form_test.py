"""Encoding of stored values and handed-over state that earlier builds wrote."""

import json
import zlib
from types import MappingProxyType

from shallotspindle_core.identifiers import FailureDomain, Incarnation, Instance
from shallotspindle_entry import admission, claims, ownership_records
from shallotspindle_idempotency.messages import ClaimSnapshot, LedgerSnapshot
from shallotspindle_ownership.table import OwnershipEntry, OwnershipTable

CLAIM = ["6b", "62", "inc", "127.0.0.1:1", "a", 3, True, 4.5]


class TestStoredForms:
    # Guards against a build that cannot read what earlier builds stored or handed over.

    def test_names_of_handed_over_states(self):
        assert (admission.STATE_NAME, claims.STATE_NAME) == ("admission", "claims")

    def test_state_of_claims(self):
        claim = ClaimSnapshot(b"k", b"b", "inc", "127.0.0.1:1", "a", 3, True, 4.5)
        state = LedgerSnapshot(1.5, (claim,))
        encoded = claims.encode_snapshot(state)
        assert json.loads(encoded) == [1.5, [CLAIM]]
        assert claims.decode_snapshot(encoded).ok == state

    def test_keys_of_the_store(self):
        name = ownership_records.build_session_key(Incarnation("inc"))
        assert (ownership_records.TABLE_KEY, name) == (
            "ownership/table",
            "sessions/inc",
        )

    def test_session_record(self):
        own_instance = Instance(Incarnation("inc"), "127.0.0.1:1", FailureDomain("a"))
        encoded = ownership_records.encode_session(own_instance, 7)
        assert json.loads(encoded) == {
            "counter": 7,
            "address": "127.0.0.1:1",
            "domain": "a",
        }

    def test_ownership_table(self):
        table = OwnershipTable(
            5, MappingProxyType({1: OwnershipEntry(Incarnation("inc"), 9)})
        )
        columns = json.loads(zlib.decompress(ownership_records.encode_table(table)))
        assert columns["holders"] == ["inc"]
        assert columns["indexes"][:3] == [-1, 0, -1]
        assert columns["epochs"][:3] == [0, 9, 0]
