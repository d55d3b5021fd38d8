"""Property tests of stored forms and files: any bytes give records or failures."""

import json
from pathlib import Path

from hypothesis import given

from shallotspindle_bundles.buckets import Section
from shallotspindle_core import bounds
from shallotspindle_settings import (
    audit,
    bundle,
    chunks,
    crash,
    daemon,
    deltas,
    manifest,
    withdrawal,
)
from shallotspindle_validation.documents_test import draw_malformed_bytes

ROOT = Path(__file__).parents[3]
EXAMPLE = ROOT / "examples" / "gyngehest"
ENTRY_SETTINGS = json.loads((EXAMPLE / "entry.json").read_text())
BUNDLE = json.loads((EXAMPLE / "bundle.json").read_text())
MANIFEST = {
    "version": 3,
    "parent": 2,
    "signer": "kari",
    "attempt": "a1",
    "chunks": ["ab"],
    "signature": "ab" * 64,
}
DELTA = {
    "version": 3,
    "parent": 2,
    "salt": "ab" * 16,
    "services": [{"name": "catalogue", "floor": 1}],
    "teams": [{"name": "museum", "after": BUNDLE["teams"][0]}],
    "withdrawn": {"added": ["ab" * 32], "removed": []},
}
RECORD = {
    "sequence": 1,
    "previous": "ab" * 32,
    "attempt": "a1",
    "time": "t",
    "person": "kari",
    "action": "publish",
    "version": 3,
    "details": [],
}
WITHDRAWAL = {
    "digest": "ab" * 32,
    "person": "kari",
    "reason": "lost",
    "time": "t",
    "signature": "ab" * 64,
}
CRASH = {
    "fingerprint": "00000000000000ff",
    "upstreams": ["u0", "u2"],
    "crashed_at": 1_767_225_600,
}


class TestFiles:
    @given(draw_malformed_bytes(ENTRY_SETTINGS))
    def test_settings_of_an_instance(self, tmp_path_factory, data):
        # Guards against a malformed settings file that raises in place of a message.
        path = tmp_path_factory.getbasetemp() / "entry.json"
        path.write_bytes(data)
        loaded = daemon.load_settings(path)
        assert loaded.is_ok() or loaded.error

    @given(draw_malformed_bytes(BUNDLE))
    def test_bundle(self, tmp_path_factory, data):
        # Guards against a malformed bundle file that raises in place of a message.
        path = tmp_path_factory.getbasetemp() / "bundle.json"
        path.write_bytes(data)
        loaded = bundle.load_bundle(path)
        assert loaded.is_ok() or loaded.error


class TestStoredForms:
    @given(draw_malformed_bytes(MANIFEST))
    def test_manifest(self, data):
        # Guards against a malformed value that ends the following of the bundle.
        parsed = manifest.parse_manifest(data)
        if parsed.is_ok():
            assert 0 <= parsed.ok.version <= bounds.MAX_COUNTER

    @given(draw_malformed_bytes(DELTA))
    def test_delta(self, data):
        # Guards against a malformed value that ends the following of the bundle.
        decoded = deltas.decode_delta(data)
        assert decoded.is_ok() or decoded.error

    @given(draw_malformed_bytes(BUNDLE["teams"]))
    def test_chunk_of_teams(self, data):
        # Guards against a malformed value that ends the following of the bundle.
        decoded = chunks.decode_bucket(Section.TEAMS, data)
        assert decoded.is_ok() or decoded.error

    @given(draw_malformed_bytes(BUNDLE["services"]))
    def test_chunk_of_services(self, data):
        # Guards against a malformed value that ends the following of the bundle.
        decoded = chunks.decode_bucket(Section.SERVICES, data)
        assert decoded.is_ok() or decoded.error

    @given(draw_malformed_bytes(CRASH))
    def test_crash(self, data):
        # Guards against a malformed value that hides the other crashing requests.
        parsed = crash.parse_crash("crash", data)
        if parsed.is_ok():
            assert int(parsed.ok.fingerprint, 16) <= bounds.MAX_FINGERPRINT

    def test_stored_form_of_a_crash(self):
        # Guards against a form that instances of another release cannot read.
        data = crash.format_crash(255, ("u0", "u2"), 1_767_225_600)
        assert json.loads(data) == CRASH

    @given(draw_malformed_bytes(WITHDRAWAL))
    def test_withdrawal(self, data):
        # Guards against a malformed value that ends the following of withdrawals.
        parsed = withdrawal.parse_withdrawal("withdrawal", data)
        assert parsed.is_ok() or parsed.error

    @given(draw_malformed_bytes(RECORD))
    def test_audit_record(self, data):
        # Guards against a malformed record that hides the audit trail.
        parsed = audit.parse_record("record", data)
        assert parsed.is_ok() or parsed.error
