import pytest

from shallotspindle_entry.response_limits import ResponseFault
from shallotspindle_gateway.records import HeaderNames
from shallotspindle_gateway.response_checks import find_head_fault

NAMES = HeaderNames()
NAMED = {NAMES.request_id: "r1"}


class TestHeadFault:
    @pytest.mark.parametrize("status", [200, 201, 204, 206, 299])
    def test_a_success_needs_a_signature(self, status):
        # Guards against a page of a faulty upstream that counts as a success.
        signed = {**NAMED, NAMES.signature: "s"}
        assert find_head_fault(NAMES, NAMED, status, NAMED) is ResponseFault.UNSIGNED
        assert find_head_fault(NAMES, NAMED, status, signed) is None

    @pytest.mark.parametrize("status", [302, 304, 404, 421, 429, 500, 503])
    def test_other_statuses_need_no_signature(self, status):
        # Guards against an upstream's own failure that is replaced by another.
        assert find_head_fault(NAMES, NAMED, status, NAMED) is None

    @pytest.mark.parametrize("status", [200, 302, 404, 421, 429, 500, 503])
    def test_a_response_needs_the_id_of_its_request(self, status):
        # Guards against a response to another request or to none.
        signed = {NAMES.signature: "s"}
        named = {**signed, NAMES.request_id: "r2"}
        assert find_head_fault(NAMES, NAMED, status, signed) is ResponseFault.UNNAMED
        assert find_head_fault(NAMES, NAMED, status, named) is ResponseFault.MISMATCHED
        assert find_head_fault(NAMES, {}, status, named) is ResponseFault.MISMATCHED
        assert find_head_fault(NAMES, {}, status, signed) is None
