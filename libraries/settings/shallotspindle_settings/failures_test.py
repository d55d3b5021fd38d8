import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shallotspindle_settings import bundle, daemon, failures

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def list_locations(value, location=()):
    yield location
    if isinstance(value, dict):
        for name, item in value.items():
            yield from list_locations(item, (*location, name))
    elif isinstance(value, list):
        for n, item in enumerate(value):
            yield from list_locations(item, (*location, n))


class TestLineFinder:
    @settings(derandomize=True, deadline=None)
    @given(VALUES, st.sampled_from([None, 2]))
    def test_every_value_has_an_offset(self, value, indent):
        # Guards against failures that are reported at the wrong line.
        text = json.dumps(value, indent=indent)
        assert set(failures.index_value_offsets(text)) == set(list_locations(value))

    def test_line_is_that_of_the_field_and_not_of_a_field_with_the_same_name(self):
        # Guards against a search for the name instead of the location.
        text = json.dumps({"a": {"rate": 1}, "b": [{"rate": 2}]}, indent=1)
        line_finder = failures.LineFinder(text)
        assert line_finder.find_line(("a", "rate")) == 3
        assert line_finder.find_line(("b", 0, "rate")) == 7
        assert line_finder.find_line(("b", 0, "missing")) == 6


class TestSettingsFile:
    def test_all_failures_are_reported_with_field_and_line(self, tmp_path):
        # Guards against failures that are reported only one at a time.
        path = tmp_path / "entry.json"
        content = {"name": "", "failure_domain": "a", "fleet_secret": "x", "extra": 1}
        path.write_text(json.dumps(content, indent=1))
        sources = {f.item: f.source for f in daemon.load_settings(path).error}
        assert sources["extra"] == f"{path}:5"
        assert sources["fleet_secret"] == f"{path}:4"
        assert sources["name"] == f"{path}:2"
        assert {"store_url", "instance_list_url", "signers"} <= set(sources)

    @pytest.mark.parametrize("text", ["", "{", '{"version": NaN}', "[1, 2", "\ufeff{}"])
    def test_invalid_json_is_a_failure(self, text):
        # Guards against an exception instead of a message for the operator.
        assert bundle.parse_bundle("file", text).is_error()

    def test_missing_file_is_a_failure(self, tmp_path):
        # Guards against an exception instead of a message for the operator.
        assert daemon.load_settings(tmp_path / "none.json").is_error()
        assert bundle.load_bundle(tmp_path).is_error()

    def test_own_failure_domain_must_be_listed(self, tmp_path):
        # Guards against a mistyped failure domain that no other instance has.
        path = tmp_path / "entry.json"
        path.write_text(json.dumps({"failure_domain": "a", "failure_domains": ["b"]}))
        assert daemon.load_settings(path).is_error()
