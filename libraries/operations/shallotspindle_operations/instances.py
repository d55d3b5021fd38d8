"""HTTP client for the administration endpoints of instances."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import aiohttp
from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError

from shallotspindle_core.failures import Failure
from shallotspindle_environment.interface import OutcomeUnknown
from shallotspindle_validation import documents

CALL_TIMEOUT_SECONDS = 2.0
MALFORMED = "the response is malformed"


@dataclass(frozen=True, slots=True)
class InstanceFailure(Failure):
    """An instance could not be reached, or it rejected a request."""


class StateResponse(BaseModel):
    """Response of ``GET /state``; later versions may add fields.

    :param rejected: whether the newest bundle is invalid at this instance.
    :param faults: why the newest bundle is not in force as it was written.
    """

    instance: str
    bundle: int
    ready: bool | None = None
    rejected: bool = False
    faults: tuple[str, ...] = ()


class UpstreamState(BaseModel):
    """One upstream in the response of ``GET /upstreams``.

    :param state: such as ``healthy``, ``ejected``, ``trial`` or ``draining``.
    :param reason: why the upstream is in this state; empty if it is healthy.
    """

    service: str
    name: str
    state: str
    reason: str = ""


class UpstreamsResponse(BaseModel):
    """Response of ``GET /upstreams``."""

    instance: str = ""
    upstreams: tuple[UpstreamState, ...]


class WithdrawalResponse(BaseModel):
    """Response of ``POST /withdrawals``.

    :param withdrawn: digest of the key that the instance no longer accepts, in hex.
    """

    withdrawn: str


async def call_instance(
    session: aiohttp.ClientSession,
    method: str,
    address: str,
    path: str,
    data: bytes | None = None,
) -> Result[Any, Failure]:
    """Send a request to an instance and return the JSON of its response."""
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
    url = address if "://" in address else f"http://{address}"
    try:
        async with session.request(
            method, url.rstrip("/") + path, data=data, timeout=timeout
        ) as response:
            text = await response.text()
            if response.status >= 300:
                item = f"{response.status} {text.strip()[:200]}"
                return Error(
                    InstanceFailure(address, "the instance rejected the request", item)
                )
            decoded = documents.decode_json(address, text.strip() or "{}")
            return decoded.map_error(
                lambda failure: OutcomeUnknown(address, MALFORMED, str(failure))
            )
    except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
        return Error(InstanceFailure(address, "could not connect", str(error)))
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        name = type(error).__name__
        return Error(OutcomeUnknown(address, "no complete response was received", name))


async def call_instances(
    addresses: Iterable[str], method: str, path: str, data: bytes | None = None
) -> list[tuple[str, Result[Any, Failure]]]:
    """Send a request to several instances concurrently."""
    addresses = list(addresses)
    async with aiohttp.ClientSession() as session:
        calls = [call_instance(session, method, item, path, data) for item in addresses]
        return list(zip(addresses, await asyncio.gather(*calls), strict=True))


def parse_response(
    model: type[BaseModel], address: str, response: Result[Any, Failure]
) -> Result[Any, Failure]:
    """Validate the JSON of a response; a failed call is returned unchanged."""
    if response.is_error():
        return response
    try:
        return Ok(model.model_validate(response.ok))
    except ValidationError as error:
        return Error(InstanceFailure(address, MALFORMED, str(error.errors()[0]["loc"])))
