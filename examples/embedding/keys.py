"""Finds the team of an API key, and rejects the key once it is withdrawn."""

from shallotspindle_keys import digests, directory

SALT = b"sixteen bytes or more"
digest = digests.digest_key(SALT, "secret")
keys = directory.build_directory(SALT, [("museum", [digest])])
print(directory.find_team(keys, "secret"))
remaining_keys = directory.replace_withdrawn(keys, frozenset({digest}))
print(directory.find_team(remaining_keys, "secret"))
