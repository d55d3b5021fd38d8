"""Finds the team of a key and refuses it after its withdrawal."""

from shallotspindle_keys import digests, directory

SALT = b"sixteen bytes or more"
digest = digests.digest_key(SALT, "secret")
found = directory.build_directory(SALT, [("museum", [digest])])
print(directory.find_team(found, "secret"))
withdrawn = directory.replace_withdrawn(found, frozenset({digest}))
print(directory.find_team(withdrawn, "secret"))
