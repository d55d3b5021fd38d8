import pytest
from pydantic import ValidationError

from shallotspindle_standins import behaviour
from shallotspindle_standins.behaviour import Behaviour


class TestChange:
    def test_other_fields_stay(self):
        # Guards against a second fault that silently ends the first.
        first = behaviour.change(Behaviour(), {"slow": 1.0})
        second = behaviour.change(first, {"shed": True})
        assert second == Behaviour(slow=1.0, shed=True)

    def test_all_wrong_fields_are_reported(self):
        with pytest.raises(ValidationError) as caught:
            behaviour.change(Behaviour(), {"slow": -1, "status": 99, "fast": True})
        assert {item["loc"][0] for item in caught.value.errors()} == {
            "slow",
            "status",
            "fast",
        }


class TestWork:
    def test_times_add_up_and_cold_requests_end(self):
        current = Behaviour(delay=1, slow=2, cold_requests=2, cold_delay=4)
        found = [behaviour.compute_work(current, number) for number in range(4)]
        assert found == [7, 7, 3, 3]
