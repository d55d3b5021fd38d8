"""JSON Schema files of the models of all files that people write.

Running the module as a program writes the files. A test compares them with the models.
"""

import json
import sys
from pathlib import Path

from shallotspindle_settings.bundle import BundleModel
from shallotspindle_settings.daemon import EntrySettings, StrictModel
from shallotspindle_settings.withdrawal import WithdrawalModel

MODELS: dict[str, type[StrictModel]] = {
    "bundle": BundleModel,
    "entry-settings": EntrySettings,
    "withdrawal": WithdrawalModel,
}


def format_schema(model: type[StrictModel]) -> str:
    """Return the JSON Schema of a model as the text of a file."""
    schema = {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        **model.model_json_schema(),
    }
    return json.dumps(schema, indent=2, sort_keys=True) + "\n"


def write_schemas(folder: Path) -> None:
    """Write the schema files of all models."""
    for name, model in MODELS.items():
        (folder / f"{name}.schema.json").write_text(format_schema(model))


if __name__ == "__main__":
    write_schemas(Path(sys.argv[1]))
