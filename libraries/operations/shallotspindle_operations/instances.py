"""Calls the administration sockets of instances."""

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import aiohttp
from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError

from shallotspindle_core.failures import Failure
from shallotspindle_environment.interface import OutcomeUnknown

CALL_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class InstanceFailure(Failure):
    """An instance did not answer, or refused a call."""


class State(BaseModel):
    """Answer of ``GET /state``; later versions may add fields."""

    instance: str
    bundle: int
    ready: bool | None = None


class UpstreamState(BaseModel):
    """One upstream in the answer of ``GET /upstreams``.

    :param state: such as ``healthy``, ``ejected``, ``trial``, ``draining``.
    :param reason: why it is in this state; empty when healthy.
    """

    service: str
    name: str
    state: str
    reason: str = ""


class Upstreams(BaseModel):
    """Answer of ``GET /upstreams``."""

    instance: str = ""
    upstreams: tuple[UpstreamState, ...]


async def call(
    session: aiohttp.ClientSession,
    method: str,
    address: str,
    path: str,
    data: bytes | None = None,
) -> Result[Any, Failure]:
    """Call an instance and return the JSON of its answer."""
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
    url = address if "://" in address else f"http://{address}"
    try:
        async with session.request(
            method, url.rstrip("/") + path, data=data, timeout=timeout
        ) as response:
            text = await response.text()
            if response.status >= 300:
                item = f"{response.status} {text.strip()[:200]}"
                return Error(InstanceFailure(address, "the call was refused", item))
            return Ok(json.loads(text) if text.strip() else {})
    except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
        return Error(InstanceFailure(address, "no connection", str(error)))
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        name = type(error).__name__
        return Error(OutcomeUnknown(address, "the answer was lost", name))


async def call_all(
    addresses: Iterable[str], method: str, path: str, data: bytes | None = None
) -> list[tuple[str, Result[Any, Failure]]]:
    """Call several instances at the same time."""
    addresses = list(addresses)
    async with aiohttp.ClientSession() as session:
        calls = [call(session, method, item, path, data) for item in addresses]
        return list(zip(addresses, await asyncio.gather(*calls), strict=True))


def validate(
    model: type[BaseModel], address: str, answer: Result[Any, Failure]
) -> Result[Any, Failure]:
    """Turn the JSON of an instance into a model; a failed call passes through."""
    if answer.is_error():
        return answer
    try:
        return Ok(model.model_validate(answer.ok))
    except ValidationError as error:
        message = "the answer is malformed"
        return Error(InstanceFailure(address, message, str(error.errors()[0]["loc"])))
