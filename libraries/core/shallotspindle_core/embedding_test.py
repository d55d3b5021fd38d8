import subprocess
import sys
from pathlib import Path

import pytest

EXAMPLES = sorted(Path(__file__).parents[3].glob("examples/embedding/*.py"))
BLOCKED_MODULES = (
    "aiohttp",
    "aiomisc",
    "aioprometheus",
    "msgpack",
    "pydantic",
    "uvloop",
)
# Runs a program in which the import of each blocked module fails.
RUN_WITH_BLOCKED_MODULES = """
import runpy, sys
for name in sys.argv[2:]:
    sys.modules[name] = None
runpy.run_path(sys.argv[1], run_name="__main__")
"""


class TestExamples:
    @pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
    def test_decisions_run_without_servers_and_codecs(self, path, snapshot):
        # Guards against a decision library that needs a package which only the daemons
        # install.
        result = subprocess.run(
            [
                sys.executable,
                "-c",
                RUN_WITH_BLOCKED_MODULES,
                str(path),
                *BLOCKED_MODULES,
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.stderr == ""
        assert result.stdout == snapshot
