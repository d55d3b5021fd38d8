import json
from pathlib import Path

import jsonschema
import pytest

from shallotspindle_settings import bundle, daemon, schemas

ROOT = Path(__file__).parents[3]
DEPLOYMENTS = {
    # Failure domains, upstreams by service, connections, teams.
    "gyngehest": (3, {"catalogue": 20, "photo-intake": 6}, 300, 8),
    "vandersteen": (4, {"stock": 30, "delivery": 8}, 400, 8),
}


class TestSchemas:
    @pytest.mark.parametrize("name", schemas.MODELS)
    def test_committed_schema_is_that_of_the_model(self, name):
        # Guards against schema files that lag behind the models.
        text = (ROOT / "schemas" / f"{name}.schema.json").read_text()
        assert text == schemas.format_schema(schemas.MODELS[name])
        jsonschema.Draft202012Validator.check_schema(json.loads(text))


class TestExamples:
    @pytest.mark.parametrize("name", DEPLOYMENTS)
    def test_example_is_valid_and_has_the_sizes_of_the_deployment(self, name):
        # Guards against examples that the command refuses.
        folder = ROOT / "examples" / name
        loaded = bundle.load_bundle(folder / "bundle.json").ok
        settings = daemon.load_settings(folder / "entry.json").ok
        domains, sizes, connections, teams = DEPLOYMENTS[name]
        found = {s.name: len(s.upstreams) for s in loaded.services.values()}
        upstreams = [u for s in loaded.services.values() for u in s.upstreams]
        assert found == sizes
        assert len(loaded.teams) == teams
        assert {u.connections for u in upstreams} == {connections}
        assert {u.domain for u in upstreams} == set(settings.failure_domains)
        assert len(settings.failure_domains) == domains

    @pytest.mark.parametrize("name", DEPLOYMENTS)
    def test_example_fits_the_schema(self, name):
        for file, schema in (("bundle", "bundle"), ("entry", "entry-settings")):
            text = (ROOT / "examples" / name / f"{file}.json").read_text()
            form = json.loads((ROOT / "schemas" / f"{schema}.schema.json").read_text())
            jsonschema.validate(json.loads(text), form)
