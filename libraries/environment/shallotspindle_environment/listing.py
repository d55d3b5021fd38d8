"""Client of the instance list in the format of HTTP service discovery.

The JSON response is an array of groups, each with targets (addresses) and labels. The
labels ``incarnation``, ``failure_domain`` and ``state`` describe an instance.
"""

from collections.abc import Sequence
from typing import Any

import aiohttp
from absl import logging
from expression import Error, Ok, Result
from pydantic import BaseModel, TypeAdapter

from shallotspindle_core.identifiers import FailureDomain, Incarnation, Instance
from shallotspindle_environment.interface import ListedInstance, StoreFailure
from shallotspindle_validation import documents
from shallotspindle_validation.fields import Address, Name

REQUEST_TIMEOUT_SECONDS = 2.0


class WireLabels(BaseModel):
    """Labels of a group."""

    incarnation: Name
    failure_domain: Name
    state: str = ""


class WireGroup(BaseModel):
    """A group of the list."""

    targets: list[Address]
    labels: WireLabels


LIST_ADAPTER = TypeAdapter(list[Any])
GROUP_ADAPTER = TypeAdapter(WireGroup)


def convert_group(group: WireGroup) -> list[ListedInstance]:
    """Return the instances of a group."""
    labels = group.labels
    return [
        ListedInstance(
            Instance(
                Incarnation(labels.incarnation),
                target,
                FailureDomain(labels.failure_domain),
            ),
            labels.state == "leaving",
        )
        for target in group.targets
    ]


class HttpInstanceList:
    """Implements ``InstanceList`` with requests over HTTP.

    An instance that is missing from the list is assumed to have ended. A malformed list
    is therefore a failure and never looks like an empty one. A malformed group may hide
    an instance that was listed before; while there is one, all of these stay listed.

    :param session: HTTP client; the caller closes it.
    :param url: URL of the list.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        self._listed: dict[Incarnation, ListedInstance] = {}

    async def list(self) -> Result[tuple[ListedInstance, ...], StoreFailure]:
        source = "instance list"
        try:
            async with self._session.get(self._url, timeout=self._timeout) as response:
                if response.status != 200:
                    status = str(response.status)
                    return Error(
                        StoreFailure(source, "the request was rejected", status)
                    )
                data = await response.read()
        except (TimeoutError, aiohttp.ClientError) as error:
            return Error(StoreFailure(source, "no response", type(error).__name__))
        groups = documents.decode_with(LIST_ADAPTER, source, data)
        if groups.is_error():
            failure = str(groups.error)
            return Error(StoreFailure(source, "the response is malformed", failure))
        listed = self._merge(groups.ok)
        if groups.ok and not listed:
            return Error(StoreFailure(source, "no group of the list is readable"))
        return Ok(listed)

    def _merge(self, groups: Sequence[Any]) -> tuple[ListedInstance, ...]:
        """Return the instances of the groups, and those that a group may hide."""
        checked = [
            documents.check_with(GROUP_ADAPTER, "instance list", group)
            for group in groups
        ]
        for group in checked:
            if group.is_error():
                logging.warning("ignored a group of instances: %s", group.error)
        listed = {
            each.instance.incarnation: each
            for group in checked
            if group.is_ok()
            for each in convert_group(group.ok)
        }
        is_complete = all(group.is_ok() for group in checked)
        self._listed = listed if is_complete else {**self._listed, **listed}
        return tuple(self._listed.values())
