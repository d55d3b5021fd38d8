import pytest
from pydantic import ValidationError

from shallotspindle_standins import behaviour
from shallotspindle_standins.behaviour import Behaviour


class TestUpdate:
    def test_other_fields_are_unchanged(self):
        # Guards against a second fault that silently disables the first.
        first = behaviour.update_behaviour(Behaviour(), {"slow": 1.0})
        second = behaviour.update_behaviour(first, {"shed": True})
        assert second == Behaviour(slow=1.0, shed=True)

    def test_all_invalid_fields_are_reported(self):
        # Guards against a scenario whose misspelt or invalid fault is never applied.
        with pytest.raises(ValidationError) as caught:
            behaviour.update_behaviour(
                Behaviour(), {"slow": -1, "status": 99, "fast": True}
            )
        assert {item["loc"][0] for item in caught.value.errors()} == {
            "slow",
            "status",
            "fast",
        }


class TestServiceTime:
    def test_delays_add_up_and_the_cold_start_ends(self):
        # Guards against a fault that replaces the configured service time.
        current = Behaviour(delay=1, slow=2, cold_requests=2, cold_delay=4)
        service_times = [
            behaviour.compute_service_time(current, number) for number in range(4)
        ]
        assert service_times == [7, 7, 3, 3]
