import json

import pytest
from expression import Error
from syrupy.assertion import SnapshotAssertion

from shallotspindle_bundles import withdrawals
from shallotspindle_bundles.withdrawals import Withdrawal
from shallotspindle_environment.interface import StoreFailure
from shallotspindle_environment.memory import MemoryStore
from shallotspindle_operations import options
from shallotspindle_operations.main import app
from shallotspindle_settings import withdrawal

COMMANDS = (
    "",
    "bundle",
    "bundle create",
    "bundle validate",
    "bundle diff",
    "bundle sign",
    "bundle publish",
    "bundle show",
    "key give",
    "key withdraw",
    "status",
    "upstreams",
    "drain",
    "audit show",
    "audit verify",
    "check",
    "signer create",
)
BUNDLE = {
    "version": 1,
    "salt": "00112233445566778899aabbccddeeff",
    "teams": [{"name": "dealer", "rate": 5, "burst": 10}],
    "services": [
        {
            "name": "stock",
            "upstreams": [
                {"name": "stock-1", "address": "10.0.0.1:80", "failure_domain": "a"},
                {"name": "stock-2", "address": "10.0.0.2:80", "failure_domain": "b"},
            ],
        }
    ],
    "routes": [{"name": "stock", "prefix": "/stock", "service": "stock"}],
}


SETTINGS = {
    "name": "entry-1",
    "failure_domain": "a",
    "store_url": "http://10.0.0.9:2379",
    "instance_list_url": "http://10.0.0.9:8500/instances",
    "fleet_secret": "ab" * 32,
}


class CommandRunner:
    """Runs commands against an in-memory store."""

    def __init__(self, folder, capsys, monkeypatch):
        self.folder, self.capsys, self.store = folder, capsys, MemoryStore()
        monkeypatch.setattr(options, "EtcdStore", lambda session, url: self.store)
        self.signer_options = [
            "--signer",
            "astrid",
            "--key",
            str(folder / "astrid.key"),
        ]
        self.run("signer", "create", "astrid", folder / "astrid.key")

    def write(self, name, content):
        path = self.folder / name
        path.write_text(json.dumps(content, indent=2))
        return path

    def run(self, *arguments):
        """Return the exit code and the standard output."""
        with pytest.raises(SystemExit) as stopped:
            app(list(map(str, arguments)))
        return stopped.value.code, self.capsys.readouterr().out

    def publish(self, content, *extra_arguments):
        path = self.write(f"bundle-{content['version']}.json", content)
        arguments = ("--store", "memory", *self.signer_options, *extra_arguments)
        return self.run("bundle", "publish", path, *arguments)


@pytest.fixture
def runner(tmp_path, capsys, monkeypatch):
    monkeypatch.setenv("COLUMNS", "80")
    return CommandRunner(tmp_path, capsys, monkeypatch)


class TestHelp:
    @pytest.mark.parametrize("command", COMMANDS)
    def test_help_text_matches_snapshot(
        self, runner, command, snapshot: SnapshotAssertion
    ):
        # Guards against a renamed command or option that scripts of operators use.
        code, text = runner.run(*command.split(), "--help")
        assert code == 0
        assert text == snapshot


class TestBundleCommands:
    def test_bundle_can_be_compared_signed_published_and_copied(
        self, runner, snapshot: SnapshotAssertion
    ):
        # Guards against commands whose output the next command does not accept.
        assert runner.publish(BUNDLE) == (
            0,
            "bundle 1 is accepted, signed off by astrid\naudit record 1\n",
        )
        after = {**BUNDLE, "version": 2, "teams": [{**BUNDLE["teams"][0], "rate": 6}]}
        after["routes"] = [{**BUNDLE["routes"][0], "idempotency_key": "required"}]
        path = runner.write("after.json", after)
        assert runner.run("bundle", "diff", path, "--store", "memory") == snapshot
        signed = runner.folder / "after.signed"
        assert (
            runner.run("bundle", "sign", path, signed, *runner.signer_options)[0] == 0
        )
        arguments = ("--store", "memory", "--manifest", signed)
        assert runner.run("bundle", "publish", path, *arguments)[0] == 0
        assert runner.run("bundle", "show", "--store", "memory") == snapshot
        copy = runner.folder / "copy.json"
        assert runner.run("bundle", "create", copy, "--store", "memory")[0] == 0
        assert json.loads(copy.read_text())["version"] == 3
        assert runner.run("bundle", "validate", copy)[0] == 0

    def test_stale_bundle_is_a_conflict(self, runner):
        # Guards against an operator who overwrites another operator's change.
        runner.publish(BUNDLE)
        code, text = runner.publish(BUNDLE, "--json")
        assert (code, json.loads(text)["failures"][0]["type"]) == (3, "VersionConflict")

    def test_invalid_bundle_lists_all_failures_with_line_numbers(
        self, runner, snapshot
    ):
        # Guards against an invalid bundle that reaches the store, and against failures
        # that are reported one at a time.
        invalid_bundle = {**BUNDLE, "teams": BUNDLE["teams"] * 2}
        invalid_bundle["routes"] = [{**BUNDLE["routes"][0], "service": "none"}]
        code, text = runner.publish(invalid_bundle)
        assert code == 2
        assert text.replace(str(runner.folder), "FOLDER") == snapshot
        assert not runner.store.read_count

    def test_withdrawn_key_is_not_restored_by_an_old_file(self, runner):
        # Guards against an old bundle file with a new version number that makes a
        # withdrawn key valid again.
        team = {**BUNDLE["teams"][0], "key_digests": ["ab" * 32]}
        runner.publish({**BUNDLE, "withdrawn": ["ab" * 32]})
        assert runner.publish({**BUNDLE, "version": 2, "teams": [team]})[0] == 2
        assert runner.publish({**BUNDLE, "version": 2})[0] == 0

    def test_store_outage_is_a_failure(self, runner):
        # Guards against a publication that is reported as done during a store outage.
        runner.store.is_unavailable = True
        assert runner.publish(BUNDLE)[0] == 1

    def test_unrecorded_change_is_recorded_by_the_next_writer(self, runner):
        # Guards against an accepted change without an audit record.
        runner.publish(BUNDLE)
        for key in list(runner.store._values):
            if "/audit/" in key:
                del runner.store._values[key]
        assert runner.run("audit", "verify", "--store", "memory")[0] == 1
        runner.publish({**BUNDLE, "version": 2})
        _, text = runner.run("audit", "show", "--store", "memory", "--json")
        audit_records = json.loads(text)["records"]
        assert [item["version"] for item in audit_records] == [1, 2]


class TestKeyCommands:
    def test_key_is_issued_and_withdrawn(self, runner):
        # Guards against a withdrawal that misses the key of the given file, and a key
        # that is stored in plain text.
        runner.publish(BUNDLE)
        common_options = ("--store", "memory", *runner.signer_options)
        code, text = runner.run("key", "give", "dealer", *common_options, "--json")
        issued = json.loads(text)
        assert (code, issued["version"]) == (0, 2)
        secret = runner.folder / "secret"
        secret.write_text(issued["key"])
        path = runner.folder / "bundle-1.json"
        key_options = ("--secret", secret, "--bundle", path, "--reason", "lost laptop")
        code, text = runner.run("key", "withdraw", *key_options, *common_options)
        assert (code, "+ withdrawn" in text) == (0, True)
        assert runner.run("key", "withdraw", *key_options, *common_options)[0] == 2
        assert runner.run("key", "give", "nobody", *common_options)[0] == 2
        code, text = runner.run("audit", "verify", "--store", "memory")
        assert text.startswith("3 records are unchanged, head ")
        assert issued["key"] not in str(runner.store._values)

    def test_key_is_shown_if_the_bundle_may_be_accepted(self, runner):
        # Guards against a valid key that nobody knows.
        runner.publish(BUNDLE)
        original_replace = runner.store.replace

        async def lose_record(key, data, revision, lease=0):
            if "/audit/" in key:
                return Error(StoreFailure(key, "no connection"))
            return await original_replace(key, data, revision, lease)

        runner.store.replace = lose_record
        arguments = ("dealer", "--store", "memory", *runner.signer_options, "--json")
        code, text = runner.run("key", "give", *arguments)
        assert code == 1
        assert json.loads(text)["failures"][0]["type"] == "AuditFailure"
        assert json.loads(text)["key"]

    def test_withdrawal_without_store_and_instances_fails(self, runner):
        # Guards against a withdrawal that is reported as done but stored nowhere.
        runner.publish(BUNDLE)
        runner.store.is_unavailable = True
        arguments = ("--store", "memory", *runner.signer_options, "--reason", "lost")
        code, _ = runner.run("key", "withdraw", "--digest", "ab" * 32, *arguments)
        assert code == 1

    def test_stored_withdrawal_is_added_by_the_next_change(self, runner, snapshot):
        # Guards against a withdrawal that is lost when all instances are replaced.
        runner.publish(BUNDLE)
        key = options.read_private_key(runner.folder / "astrid.key").ok
        public = key.public_key().public_bytes_raw().hex()
        settings = runner.write(
            "entry.json", {**SETTINGS, "signers": {"hanne": public}}
        )
        for digest, person in ((b"w" * 32, "hanne"), (b"v" * 32, "mikkel")):
            unsigned = Withdrawal(digest, person, "lost laptop", "now")
            data = withdrawal.format_withdrawal(withdrawals.sign(unsigned, key))
            runner.store.put(withdrawal.WITHDRAWAL_PREFIX + digest.hex(), data)
        arguments = ("stock-2", "--store", "memory", *runner.signer_options)
        assert runner.run("drain", *arguments, "--settings", settings) == snapshot
        shown = runner.run("bundle", "show", "--store", "memory", "--json")[1]
        assert json.loads(shown)["withdrawn"] == 1


class TestDrain:
    def test_drain_publishes_a_new_bundle(self, runner, snapshot: SnapshotAssertion):
        # Guards against a draining mark that does not reach the accepted bundle, or
        # that cannot be cleared.
        runner.publish(BUNDLE)
        arguments = ("stock-2", "--store", "memory", *runner.signer_options)
        assert runner.run("drain", *arguments) == snapshot
        assert runner.run("drain", *arguments)[0] == 2
        assert runner.run("drain", *arguments, "--undo")[0] == 0
