from dataclasses import replace

import pytest

from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName
from shallotspindle_registry.directory import GRACE_SECONDS, LEFT_SECONDS, Directory
from shallotspindle_registry.records import Announcement, State

SERVICE = ServiceName("catalogue")
FIRST = Announcement(
    UpstreamName("u1"), SERVICE, "10.0.0.1:80", FailureDomain("a"), State.READY, 2, 5
)
SECOND = replace(FIRST, name=UpstreamName("u2"), domain=FailureDomain("b"))


@pytest.fixture
def directory():
    found = Directory()
    found.replace((FIRST, SECOND), 0.0)
    return found


class TestUse:
    def test_only_ready_upstreams_of_the_service_are_used(self, directory):
        directory.announce(replace(FIRST, state=State.DRAINING), 1.0)
        assert set(directory.list_usable(SERVICE)) == {"u2"}
        assert directory.list_domains(SERVICE) == {"b": 1}

    def test_a_list_that_was_asked_for_follows_every_change(self, directory):
        # Guards against an answer that is kept beyond the version it belongs to.
        assert len(directory.list_usable(SERVICE)) == 2
        assert directory.list_domains(SERVICE) == {"a": 1, "b": 1}
        directory.announce(replace(FIRST, state=State.DRAINING), 1.0)
        assert directory.list_domains(SERVICE) == {"b": 1}
        assert set(directory.list_usable(SERVICE)) == {"u2"}
        directory.remove(SECOND.name, 2.0)
        assert not directory.list_usable(SERVICE)
        assert not directory.list_domains(SERVICE)

    def test_an_address_that_another_service_took_over_is_not_used(self, directory):
        # Guards against a request that reaches the new owner of an old address.
        directory.announce(replace(FIRST, service=ServiceName("photos")), 1.0)
        assert set(directory.list_usable(SERVICE)) == {"u2"}

    def test_a_failure_domain_restricts_the_list(self, directory):
        assert set(directory.list_usable(SERVICE, FailureDomain("a"))) == {"u1"}


class TestRemoval:
    def test_a_removed_entry_is_dropped_at_once(self, directory):
        directory.remove(FIRST.name, 1.0)
        assert set(directory.list_usable(SERVICE)) == {"u2"}

    def test_an_entry_that_lapsed_in_an_outage_is_kept_for_the_grace(self, directory):
        # Guards against an empty list of upstreams after each outage of the store.
        directory.note_outage_end(10.0)
        directory.replace((), 10.1)
        assert set(directory.list_usable(SERVICE)) == {"u1", "u2"}
        directory.announce(SECOND, 11.0)
        directory.expire(10.0 + GRACE_SECONDS)
        assert set(directory.list_usable(SERVICE)) == {"u2"}

    def test_a_draining_entry_that_vanishes_has_no_grace(self, directory):
        directory.announce(replace(FIRST, state=State.DRAINING), 9.0)
        directory.note_outage_end(10.0)
        directory.remove(FIRST.name, 10.1)
        assert directory.find(FIRST.name) is None

    def test_nothing_is_dropped_before_the_grace_is_over(self, directory):
        directory.note_outage_end(10.0)
        directory.remove(FIRST.name, 10.1)
        directory.expire(11.0)
        assert directory.find(FIRST.name) is not None


class TestLeft:
    def test_an_upstream_that_drains_or_is_gone_has_left(self, directory):
        # Guards against slots of a lender that hears later that an upstream leaves.
        assert not directory.has_left(FIRST.name)
        directory.announce(replace(FIRST, state=State.DRAINING), 1.0)
        directory.remove(SECOND.name, 1.0)
        assert directory.has_left(FIRST.name)
        assert directory.has_left(SECOND.name)

    def test_an_unknown_upstream_and_one_that_is_back_have_not_left(self, directory):
        # Guards against new upstreams that get nothing until everybody knows them.
        assert not directory.has_left(UpstreamName("u9"))
        directory.remove(FIRST.name, 1.0)
        directory.announce(FIRST, 2.0)
        assert not directory.has_left(FIRST.name)

    def test_an_entry_that_lapsed_in_an_outage_has_not_left(self, directory):
        # Guards against sound upstreams that are refused after an outage.
        directory.note_outage_end(1.0)
        directory.remove(FIRST.name, 1.5)
        assert not directory.has_left(FIRST.name)
        directory.expire(1.0 + GRACE_SECONDS)
        assert directory.has_left(FIRST.name)

    def test_what_left_long_ago_is_forgotten(self, directory):
        # Guards against a list of all upstreams that there ever were.
        directory.remove(FIRST.name, 1.0)
        directory.remove(SECOND.name, 2.0 + LEFT_SECONDS)
        assert not directory.has_left(FIRST.name)
        assert directory.has_left(SECOND.name)
