"""Takes signed withdrawals from operators on the administration socket."""

from aiohttp import web

from shallotspindle_entry.bundle_messages import WithdrawalGiven
from shallotspindle_entry.configuration import ConfigurationTask
from shallotspindle_settings import withdrawal

BODY_BYTES_MAX = 4096


async def take_withdrawal(
    configuration: ConfigurationTask, request: web.Request
) -> web.Response:
    """Answer ``POST /withdrawals``.

    :returns: 200 when the key is refused from now on, 400 for a malformed statement,
        403 for one that is not signed by a known person.
    """
    length = request.content_length
    if length is None or length > BODY_BYTES_MAX:
        return build_response(413, ["the statement has no length or is too long"])
    parsed = withdrawal.parse_withdrawal("withdrawal", await request.read())
    if parsed.is_error():
        return build_response(400, list(map(str, parsed.error)))
    failure = await configuration.ask(WithdrawalGiven(parsed.ok))
    if failure is not None:
        return build_response(403, [str(failure)])
    return web.json_response({"withdrawn": parsed.ok.digest.hex()})


def build_response(status: int, failures: list[str]) -> web.Response:
    """Return a refusal with its reasons."""
    return web.json_response({"failures": failures}, status=status)
