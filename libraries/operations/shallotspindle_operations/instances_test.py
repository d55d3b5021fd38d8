import pytest

from shallotspindle_environment.interface import OutcomeUnknown
from shallotspindle_operations import instances
from shallotspindle_operations.fakes import run_server


class TestCallInstance:
    @pytest.mark.parametrize(
        "text",
        ["no JSON", "[" * 100_000, '{"bundle": 1' + "0" * 5000 + "}", '{"a": NaN}'],
        ids=["text", "nested", "huge", "not-a-number"],
    )
    async def test_a_malformed_response_is_a_failure(self, text):
        # Guards against a command that ends with a traceback because of one instance.
        async with run_server(200, text) as address:
            responses = await instances.call_instances([address], "GET", "/state")
        ((_, response),) = responses
        assert isinstance(response.error, OutcomeUnknown)
