from shallotspindle_keys import digests, directory

SALT = b"0123456789abcdef"


def build_directory(withdrawn=frozenset()):
    first = digests.digest_key(SALT, "key-one")
    second = digests.digest_key(SALT, "key-two")
    return directory.build_directory(
        SALT, [("museum", [first]), ("dealer", [second])], withdrawn
    )


class TestKeyDirectory:
    def test_each_key_finds_its_own_team(self):
        # Guards against a request that runs for another team.
        assert directory.find_team(build_directory(), "key-one") == "museum"
        assert directory.find_team(build_directory(), "key-two") == "dealer"

    def test_unknown_key_finds_no_team(self):
        # Guards against access without a valid key, and against a failure message
        # that contains the key.
        found = directory.find_team(build_directory(), "key-three")
        assert isinstance(found, directory.UnknownKey)
        assert "key-three" not in str(found)

    def test_withdrawn_key_finds_no_team(self):
        # Guards against a withdrawal that leaves the key working.
        withdrawn = frozenset({digests.digest_key(SALT, "key-one")})
        found = directory.find_team(build_directory(withdrawn), "key-one")
        assert isinstance(found, directory.UnknownKey)

    def test_old_and_new_key_work_during_a_rotation(self):
        # Guards against a rotation that refuses callers with the old key.
        new = digests.digest_key(SALT, "key-one-new")
        old = digests.digest_key(SALT, "key-one")
        both = directory.update_directory(build_directory(), (), [("museum", new)])
        assert directory.find_team(both, "key-one-new") == "museum"
        assert directory.find_team(both, "key-one") == "museum"
        after = directory.update_directory(both, [("museum", old)], ())
        found = directory.find_team(after, "key-one")
        assert isinstance(found, directory.UnknownKey)
        assert directory.find_team(after, "key-two") == "dealer"

    def test_same_key_for_two_teams_is_a_conflict(self):
        # Guards against a key that runs requests for either of two teams.
        key = digests.digest_key(SALT, "key-one")
        found = directory.update_directory(build_directory(), (), [("dealer", key)])
        assert isinstance(found, directory.KeyConflict)
