import json
from pathlib import Path

import jsonschema
import pytest

from shallotspindle_settings import bundle, daemon, schemas

ROOT = Path(__file__).parents[3]
DEPLOYMENTS = {
    # Failure domains, upstreams by service, connections of each upstream, teams.
    "gyngehest": (3, {"catalogue": 20, "photo-intake": 6}, 300, 8),
    "vandersteen": (4, {"stock": 30, "delivery": 8}, 400, 8),
}


class TestSchemas:
    @pytest.mark.parametrize("name", schemas.MODELS)
    def test_committed_schema_matches_the_model(self, name):
        # Guards against schema files that were not updated with the models.
        text = (ROOT / "schemas" / f"{name}.schema.json").read_text()
        assert text == schemas.format_schema(schemas.MODELS[name])
        jsonschema.Draft202012Validator.check_schema(json.loads(text))


class TestExamples:
    @pytest.mark.parametrize("name", DEPLOYMENTS)
    def test_example_is_valid_and_has_the_sizes_of_the_deployment(self, name):
        # Guards against examples that the command rejects.
        folder = ROOT / "examples" / name
        loaded = bundle.load_bundle(folder / "bundle.json").ok
        settings = daemon.load_settings(folder / "entry.json").ok
        domain_count, expected_counts, connections, team_count = DEPLOYMENTS[name]
        upstream_counts = {s.name: len(s.upstreams) for s in loaded.services.values()}
        upstreams = [u for s in loaded.services.values() for u in s.upstreams]
        assert upstream_counts == expected_counts
        assert len(loaded.teams) == team_count
        assert {u.connections for u in upstreams} == {connections}
        assert {u.domain for u in upstreams} == set(settings.failure_domains)
        assert len(settings.failure_domains) == domain_count

    @pytest.mark.parametrize("name", DEPLOYMENTS)
    def test_example_conforms_to_the_schema(self, name):
        # Guards against a schema that rejects valid files.
        for file, schema in (("bundle", "bundle"), ("entry", "entry-settings")):
            text = (ROOT / "examples" / name / f"{file}.json").read_text()
            json_schema = json.loads(
                (ROOT / "schemas" / f"{schema}.schema.json").read_text()
            )
            jsonschema.validate(json.loads(text), json_schema)
