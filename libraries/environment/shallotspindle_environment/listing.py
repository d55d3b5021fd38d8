"""Client of the instance list in the format of HTTP service discovery.

The JSON response is an array of groups, each with targets (addresses) and labels. The
labels ``incarnation``, ``failure_domain`` and ``state`` describe an instance.
"""

from typing import Any

import aiohttp
from expression import Error, Ok, Result

from shallotspindle_core.identifiers import FailureDomain, Incarnation, Instance
from shallotspindle_environment.interface import ListedInstance, StoreFailure

REQUEST_TIMEOUT_SECONDS = 2.0


def decode_groups(groups: Any) -> tuple[ListedInstance, ...]:
    """Convert the groups of a response.

    An instance that is missing from the list is assumed to have ended. A malformed list
    must therefore be an error and never look like an empty one.

    :raises KeyError: if a field or label is missing.
    :raises TypeError: if a field has another type.
    """
    if not isinstance(groups, list):
        raise TypeError("the list is not a JSON array")
    return tuple(item for group in groups for item in decode_group(group))


def decode_group(group: Any) -> list[ListedInstance]:
    """Convert one group of a response."""
    labels = group["labels"]
    if not isinstance(group["targets"], list) or not isinstance(labels, dict):
        raise TypeError("the targets or labels of a group have the wrong type")
    return [
        ListedInstance(
            Instance(
                Incarnation(labels["incarnation"]),
                target,
                FailureDomain(labels["failure_domain"]),
            ),
            labels.get("state") == "leaving",
        )
        for target in group["targets"]
    ]


class HttpInstanceList:
    """Implements ``InstanceList`` with requests over HTTP.

    :param session: HTTP client; the caller closes it.
    :param url: URL of the list.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)

    async def list(self) -> Result[tuple[ListedInstance, ...], StoreFailure]:
        source = "instance list"
        try:
            async with self._session.get(self._url, timeout=self._timeout) as response:
                if response.status != 200:
                    status = str(response.status)
                    return Error(
                        StoreFailure(source, "the request was rejected", status)
                    )
                groups = await response.json(content_type=None)
            return Ok(decode_groups(groups))
        except (TimeoutError, aiohttp.ClientError) as error:
            return Error(StoreFailure(source, "no response", type(error).__name__))
        except (KeyError, TypeError, ValueError) as error:
            return Error(StoreFailure(source, "the response is malformed", repr(error)))
