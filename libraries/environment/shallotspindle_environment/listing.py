"""Adapter of the instance list for the HTTP service discovery format.

Each group of the JSON answer names targets and labels; the labels ``incarnation``,
``failure_domain`` and ``state`` describe an instance.
"""

from typing import Any

import aiohttp
from expression import Error, Ok, Result

from shallotspindle_core.identifiers import FailureDomain, Incarnation, Instance
from shallotspindle_environment.interface import ListedInstance, StoreFailure

CALL_TIMEOUT_SECONDS = 2.0


def decode_groups(groups: Any) -> tuple[ListedInstance, ...]:
    """Convert the whole list.

    An instance that is not listed counts as ended, so a list of another form must
    fail and never look empty.

    :raises TypeError: if the list has another form.
    """
    if not isinstance(groups, list):
        raise TypeError("the list is not a JSON array")
    return tuple(item for group in groups for item in decode_group(group))


def decode_group(group: Any) -> list[ListedInstance]:
    """Convert one group of the list."""
    labels = group["labels"]
    if not isinstance(group["targets"], list) or not isinstance(labels, dict):
        raise TypeError("a group has another form")
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
    """Instance list read over HTTP.

    :param session: HTTP client that the list may use; the caller closes it.
    :param url: address of the list.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)

    async def list(self) -> Result[tuple[ListedInstance, ...], StoreFailure]:
        source = "instance list"
        try:
            async with self._session.get(self._url, timeout=self._timeout) as response:
                if response.status != 200:
                    status = str(response.status)
                    return Error(StoreFailure(source, "the call was refused", status))
                groups = await response.json(content_type=None)
            return Ok(decode_groups(groups))
        except (TimeoutError, aiohttp.ClientError) as error:
            return Error(StoreFailure(source, "no answer", type(error).__name__))
        except (KeyError, TypeError, ValueError) as error:
            return Error(StoreFailure(source, "the answer is malformed", repr(error)))
