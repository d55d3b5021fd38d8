"""Accepts signed key withdrawals from operators on the administration socket."""

from aiohttp import web

from shallotspindle_entry.bundle_messages import WithdrawalSubmitted
from shallotspindle_entry.configuration import ConfigurationTask
from shallotspindle_settings import withdrawal

MAX_BODY_BYTES = 4096


async def handle_withdrawal(
    configuration: ConfigurationTask, request: web.Request
) -> web.Response:
    """Handle ``POST /withdrawals``.

    :returns: 200 if the withdrawal is in effect, 400 if it is malformed, 403 if it is
        not signed by a known signer, 413 if it has no length or is too long.
    """
    length = request.content_length
    if length is None or length > MAX_BODY_BYTES:
        return build_error_response(413, ["the statement has no length or is too long"])
    parsed = withdrawal.parse_withdrawal("withdrawal", await request.read())
    if parsed.is_error():
        return build_error_response(400, list(map(str, parsed.error)))
    failure = await configuration.ask(WithdrawalSubmitted(parsed.ok))
    if failure is not None:
        return build_error_response(403, [str(failure)])
    return web.json_response({"withdrawn": parsed.ok.digest.hex()})


def build_error_response(status: int, failures: list[str]) -> web.Response:
    """Return an error response that lists the failures."""
    return web.json_response({"failures": failures}, status=status)
