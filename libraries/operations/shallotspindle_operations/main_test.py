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


class Shell:
    """Runs commands against a store in memory."""

    def __init__(self, folder, capsys, monkeypatch):
        self.folder, self.capsys, self.store = folder, capsys, MemoryStore()
        monkeypatch.setattr(options, "EtcdStore", lambda session, url: self.store)
        self.person = ["--signer", "astrid", "--key", str(folder / "astrid.key")]
        self.run("signer", "create", "astrid", folder / "astrid.key")

    def write(self, name, content):
        path = self.folder / name
        path.write_text(json.dumps(content, indent=2))
        return path

    def run(self, *arguments):
        """Return the exit code and what was printed."""
        with pytest.raises(SystemExit) as stopped:
            app(list(map(str, arguments)))
        return stopped.value.code, self.capsys.readouterr().out

    def publish(self, content, *more):
        path = self.write(f"bundle-{content['version']}.json", content)
        arguments = ("--store", "memory", *self.person, *more)
        return self.run("bundle", "publish", path, *arguments)


@pytest.fixture
def shell(tmp_path, capsys, monkeypatch):
    monkeypatch.setenv("COLUMNS", "80")
    return Shell(tmp_path, capsys, monkeypatch)


class TestHelp:
    @pytest.mark.parametrize("command", COMMANDS)
    def test_help_text(self, shell, command, snapshot: SnapshotAssertion):
        code, text = shell.run(*command.split(), "--help")
        assert code == 0
        assert text == snapshot


class TestBundleCommands:
    def test_life_of_a_bundle(self, shell, snapshot: SnapshotAssertion):
        assert shell.publish(BUNDLE) == (
            0,
            "bundle 1 is accepted, signed off by astrid\naudit record 1\n",
        )
        after = {**BUNDLE, "version": 2, "teams": [{**BUNDLE["teams"][0], "rate": 6}]}
        after["routes"] = [{**BUNDLE["routes"][0], "idempotency_key": "required"}]
        path = shell.write("after.json", after)
        assert shell.run("bundle", "diff", path, "--store", "memory") == snapshot
        signed = shell.folder / "after.signed"
        assert shell.run("bundle", "sign", path, signed, *shell.person)[0] == 0
        arguments = ("--store", "memory", "--manifest", signed)
        assert shell.run("bundle", "publish", path, *arguments)[0] == 0
        assert shell.run("bundle", "show", "--store", "memory") == snapshot
        copy = shell.folder / "copy.json"
        assert shell.run("bundle", "create", copy, "--store", "memory")[0] == 0
        assert json.loads(copy.read_text())["version"] == 3
        assert shell.run("bundle", "validate", copy)[0] == 0

    def test_stale_bundle_is_a_conflict(self, shell):
        # Guards against an operator who undoes another one's change.
        shell.publish(BUNDLE)
        code, text = shell.publish(BUNDLE, "--json")
        assert (code, json.loads(text)["failures"][0]["type"]) == (3, "VersionConflict")

    def test_invalid_bundle_lists_all_failures_with_lines(self, shell, snapshot):
        bad = {**BUNDLE, "teams": BUNDLE["teams"] * 2}
        bad["routes"] = [{**BUNDLE["routes"][0], "service": "none"}]
        code, text = shell.publish(bad)
        assert code == 2
        assert text.replace(str(shell.folder), "FOLDER") == snapshot
        assert not shell.store.read_count

    def test_withdrawn_key_does_not_come_back_with_an_old_file(self, shell):
        # Guards against an old file under a new version that revives a key.
        team = {**BUNDLE["teams"][0], "key_digests": ["ab" * 32]}
        shell.publish({**BUNDLE, "withdrawn": ["ab" * 32]})
        assert shell.publish({**BUNDLE, "version": 2, "teams": [team]})[0] == 2
        assert shell.publish({**BUNDLE, "version": 2})[0] == 0

    def test_store_outage_is_a_failure(self, shell):
        shell.store.is_unavailable = True
        assert shell.publish(BUNDLE)[0] == 1

    def test_unrecorded_change_is_recorded_by_the_next_writer(self, shell):
        # Guards against an accepted change without an audit record.
        shell.publish(BUNDLE)
        for key in list(shell.store._values):
            if "/audit/" in key:
                del shell.store._values[key]
        assert shell.run("audit", "verify", "--store", "memory")[0] == 1
        shell.publish({**BUNDLE, "version": 2})
        _, text = shell.run("audit", "show", "--store", "memory", "--json")
        found = json.loads(text)["records"]
        assert [item["version"] for item in found] == [1, 2]


class TestKeyCommands:
    def test_key_is_given_and_withdrawn(self, shell):
        shell.publish(BUNDLE)
        common = ("--store", "memory", *shell.person)
        code, text = shell.run("key", "give", "dealer", *common, "--json")
        given = json.loads(text)
        assert (code, given["version"]) == (0, 2)
        secret = shell.folder / "secret"
        secret.write_text(given["key"])
        path = shell.folder / "bundle-1.json"
        found = ("--secret", secret, "--bundle", path, "--reason", "lost laptop")
        code, text = shell.run("key", "withdraw", *found, *common)
        assert (code, "+ withdrawn" in text) == (0, True)
        assert shell.run("key", "withdraw", *found, *common)[0] == 2
        assert shell.run("key", "give", "nobody", *common)[0] == 2
        code, text = shell.run("audit", "verify", "--store", "memory")
        assert text.startswith("3 records are unchanged, head ")
        assert given["key"] not in str(shell.store._values)

    def test_key_of_a_change_in_doubt_is_shown(self, shell):
        # Guards against a key that works and that nobody has.
        shell.publish(BUNDLE)
        fill = shell.store.replace

        async def lose_record(key, data, revision, lease=0):
            if "/audit/" in key:
                return Error(StoreFailure(key, "no connection"))
            return await fill(key, data, revision, lease)

        shell.store.replace = lose_record
        arguments = ("dealer", "--store", "memory", *shell.person, "--json")
        code, text = shell.run("key", "give", *arguments)
        assert code == 1
        assert json.loads(text)["failures"][0]["type"] == "AuditFailure"
        assert json.loads(text)["key"]

    def test_withdrawal_without_store_and_instances_fails(self, shell):
        # Guards against a withdrawal that is reported as done and is nowhere.
        shell.publish(BUNDLE)
        shell.store.is_unavailable = True
        arguments = ("--store", "memory", *shell.person, "--reason", "lost")
        code, _ = shell.run("key", "withdraw", "--digest", "ab" * 32, *arguments)
        assert code == 1

    def test_stored_withdrawal_is_carried_by_the_next_change(self, shell, snapshot):
        # Guards against a withdrawal that is lost when all instances are replaced.
        shell.publish(BUNDLE)
        key = options.read_key(shell.folder / "astrid.key").ok
        public = key.public_key().public_bytes_raw().hex()
        settings = shell.write("entry.json", {**SETTINGS, "signers": {"hanne": public}})
        for digest, person in ((b"w" * 32, "hanne"), (b"v" * 32, "mikkel")):
            unsigned = Withdrawal(digest, person, "lost laptop", "now")
            data = withdrawal.format_withdrawal(withdrawals.sign(unsigned, key))
            shell.store.put(withdrawal.WITHDRAWAL_PREFIX + digest.hex(), data)
        arguments = ("stock-2", "--store", "memory", *shell.person)
        assert shell.run("drain", *arguments, "--settings", settings) == snapshot
        shown = shell.run("bundle", "show", "--store", "memory", "--json")[1]
        assert json.loads(shown)["withdrawn"] == 1


class TestDrain:
    def test_drain_is_a_new_bundle(self, shell, snapshot: SnapshotAssertion):
        shell.publish(BUNDLE)
        arguments = ("stock-2", "--store", "memory", *shell.person)
        assert shell.run("drain", *arguments) == snapshot
        assert shell.run("drain", *arguments)[0] == 2
        assert shell.run("drain", *arguments, "--undo")[0] == 0
