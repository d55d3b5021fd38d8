"""Adapter of the store for the JSON gateway of etcd v3.

A write whose answer was lost is reported as ``OutcomeUnknown``; the caller reads
back and recognises its own value.
"""

import base64
import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from expression import Error, Ok, Result

from shallotspindle_platform.interface import (
    VALUE_LIMIT_BYTES,
    Conflict,
    Entry,
    OutcomeUnknown,
    StoreFailure,
)

CALL_TIMEOUT_SECONDS = 2.0
CONNECT_FAILURES = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


def encode_text(data: bytes) -> str:
    return base64.b64encode(data).decode()


def decode_entry(item: dict[str, Any]) -> Entry:
    """Convert a key-value object of the gateway."""
    return Entry(
        key=base64.b64decode(item["key"]).decode(),
        data=base64.b64decode(item.get("value", "")),
        revision=int(item.get("mod_revision", 0)),
    )


def find_range_end(prefix: str) -> bytes:
    """Return the first key after all keys with a prefix."""
    data = prefix.encode()
    return data[:-1] + bytes([data[-1] + 1])


class EtcdStore:
    """Store behind an etcd v3 JSON gateway.

    :param session: HTTP client that the store may use; the caller closes it.
    :param url: base address of the gateway.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)

    async def _call(
        self, path: str, body: dict[str, Any]
    ) -> Result[dict[str, Any], StoreFailure]:
        source = f"store {path}"
        try:
            async with self._session.post(
                f"{self._url}{path}", json=body, timeout=self._timeout
            ) as response:
                if response.status != 200:
                    status = str(response.status)
                    return Error(StoreFailure(source, "the call was refused", status))
                return Ok(await response.json(content_type=None))
        except CONNECT_FAILURES as error:
            return Error(StoreFailure(source, "no connection", str(error)))
        except (TimeoutError, aiohttp.ClientError, json.JSONDecodeError) as error:
            name = type(error).__name__
            return Error(OutcomeUnknown(source, "the answer was lost", name))

    async def get(self, key: str) -> Result[Entry, StoreFailure]:
        answer = await self._call("/v3/kv/range", {"key": encode_text(key.encode())})
        return answer.map(lambda found: self._take_first(key, found))

    @staticmethod
    def _take_first(key: str, answer: dict[str, Any]) -> Entry:
        items = answer.get("kvs", [])
        return decode_entry(items[0]) if items else Entry(key, b"", 0)

    async def list(self, prefix: str) -> Result[tuple[Entry, ...], StoreFailure]:
        body = {
            "key": encode_text(prefix.encode()),
            "range_end": encode_text(find_range_end(prefix)),
        }
        answer = await self._call("/v3/kv/range", body)
        return answer.map(lambda found: tuple(map(decode_entry, found.get("kvs", []))))

    async def replace(
        self, key: str, data: bytes, revision: int, lease: int = 0
    ) -> Result[int, StoreFailure]:
        if len(data) > VALUE_LIMIT_BYTES:
            return Error(StoreFailure(f"store {key}", "the value is too large"))
        name = encode_text(key.encode())
        put = {"key": name, "value": encode_text(data), "lease": str(lease)}
        body = {
            "compare": [
                {
                    "key": name,
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(revision),
                }
            ],
            "success": [{"requestPut": put}],
        }
        answer = await self._call("/v3/kv/txn", body)
        if answer.is_error():
            return Error(answer.error)
        if not answer.ok.get("succeeded"):
            return Error(Conflict(f"store {key}", "the value was changed"))
        return Ok(int(answer.ok["header"]["revision"]))

    async def grant_lease(self, seconds: int) -> Result[int, StoreFailure]:
        answer = await self._call("/v3/lease/grant", {"TTL": str(seconds)})
        return answer.map(lambda found: int(found["ID"]))

    async def renew_lease(self, lease: int) -> Result[int, StoreFailure]:
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return answer.map(lambda found: int(found["result"].get("TTL", 0)))

    async def watch(self, key: str, revision: int) -> AsyncIterator[Entry]:
        body = {
            "create_request": {
                "key": encode_text(key.encode()),
                "start_revision": str(revision),
            }
        }
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CALL_TIMEOUT_SECONDS)
        try:
            async with self._session.post(
                f"{self._url}/v3/watch", json=body, timeout=timeout
            ) as response:
                async for line in response.content:
                    result = json.loads(line).get("result", {})
                    for event in result.get("events", []):
                        yield decode_entry(event["kv"])
        except (TimeoutError, aiohttp.ClientError, json.JSONDecodeError):
            return
