from shallotspindle_bundles.records import Route, WeightedService
from shallotspindle_operations import rendering


class TestRoutes:
    def test_split_is_printed_with_stable_names(self):
        # Guards against a renamed class that changes the output of ``bundle diff`` and
        # the audit trail, which scripts may match.
        before = Route("orders", "/orders", "stock")
        after = Route(
            "orders", "/orders", "stock", split=(WeightedService("stock-2", 0.5),)
        )
        line = rendering.render_record("route", "orders", before, after)
        assert line == (
            "~ route orders: split () -> (Part(service='stock-2', weight=0.5),)"
        )
