"""Validates the head of a response of an upstream.

A faulty upstream may send bytes that belong to no request, such as the page of another
server, and they may be a complete HTTP response. What such a response states is not
used: neither its status, nor that the request did not run, nor that its upstream
leaves.
"""

from collections.abc import Mapping

from shallotspindle_entry.response_limits import ResponseFault
from shallotspindle_gateway.records import HeaderNames

SUCCESS_STATUSES = range(200, 300)


def find_head_fault(
    header_names: HeaderNames,
    request_headers: Mapping[str, str],
    status: int,
    headers: Mapping[str, str],
) -> ResponseFault | None:
    """Return why the head of a response is rejected, or None if it is sound.

    Every response must have the id of its request, and a success a signature as well.

    :param request_headers: headers of the request that was sent.
    :param status: status of a final response.
    """
    received_id = headers.get(header_names.request_id, "")
    if received_id != request_headers.get(header_names.request_id, ""):
        return ResponseFault.MISMATCHED if received_id else ResponseFault.UNNAMED
    if status not in SUCCESS_STATUSES or not header_names.signature:
        return None
    has_signature = bool(headers.get(header_names.signature))
    return None if has_signature else ResponseFault.UNSIGNED
