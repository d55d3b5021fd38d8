import subprocess
import sys
from pathlib import Path

import pytest

EXAMPLES = sorted(Path(__file__).parents[3].glob("examples/embedding/*.py"))
BLOCKED = ("aiohttp", "aiomisc", "aioprometheus", "msgpack", "pydantic", "uvloop")
# Runs a program in which the import of a blocked library fails.
RUNNER = """
import runpy, sys
for name in sys.argv[2:]:
    sys.modules[name] = None
runpy.run_path(sys.argv[1], run_name="__main__")
"""


class TestExamples:
    @pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
    def test_decisions_run_without_servers_and_codecs(self, path, snapshot):
        # Guards against a decision library that needs the daemon's libraries.
        result = subprocess.run(
            [sys.executable, "-c", RUNNER, str(path), *BLOCKED],
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.stderr == ""
        assert result.stdout == snapshot
