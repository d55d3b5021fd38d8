"""Adapter of the store for the JSON gateway of etcd v3.

A write whose answer was lost is reported as ``OutcomeUnknown``; the caller reads
back and recognises its own value.
"""

import base64
import json
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeVar

import aiohttp
from expression import Error, Ok, Result

from shallotspindle_environment.interface import (
    VALUE_LIMIT_BYTES,
    Conflict,
    Entry,
    OutcomeUnknown,
    StoreBusy,
    StoreFailure,
)

CALL_TIMEOUT_SECONDS = 2.0
# A watch whose connection is cut in one direction ends after this time without a
# change; whoever holds it opens a new one.
WATCH_SILENCE_SECONDS = 60.0
WATCH_LINE_BYTES_MAX = 4_000_000
STATUS_DONE = 200
STATUS_BUSY = 429
STATUS_SERVER_FAILURE = 500
Value = TypeVar("Value")

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


def build_refusal(source: str, status: int) -> StoreFailure:
    """Return the failure of a status.

    The gateway answers 5xx also when it gave up waiting for a write that may still
    take effect.
    """
    if status == STATUS_BUSY:
        return StoreBusy(source, "the store is over its rate", str(status))
    if status >= STATUS_SERVER_FAILURE:
        return OutcomeUnknown(source, "the store failed", str(status))
    return StoreFailure(source, "the call was refused", str(status))


def drop_doubt(failure: StoreFailure) -> StoreFailure:
    """Return the failure of a call that writes nothing, whatever became of it."""
    if isinstance(failure, OutcomeUnknown):
        return StoreFailure(failure.source, failure.message, failure.item)
    return failure


def read(
    source: str,
    answer: Result[dict[str, Any], StoreFailure],
    convert: Callable[[dict[str, Any]], Value],
) -> Result[Value, StoreFailure]:
    """Convert an answer; one of another form is a failure."""
    if answer.is_error():
        return Error(answer.error)
    try:
        return Ok(convert(answer.ok))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Error(OutcomeUnknown(source, "the answer is malformed", repr(error)))


async def read_lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield the lines of a stream; unlike the reader's own, they may be long."""
    rest = b""
    async for data in content.iter_any():
        *lines, rest = (rest + data).split(b"\n")
        for line in lines:
            yield line
        if len(rest) > WATCH_LINE_BYTES_MAX:
            return


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
                if response.status != STATUS_DONE:
                    return Error(build_refusal(source, response.status))
                return Ok(await response.json(content_type=None))
        except CONNECT_FAILURES as error:
            return Error(StoreFailure(source, "no connection", str(error)))
        except (TimeoutError, aiohttp.ClientError, json.JSONDecodeError) as error:
            name = type(error).__name__
            return Error(OutcomeUnknown(source, "the answer was lost", name))

    async def get(self, key: str) -> Result[Entry, StoreFailure]:
        answer = await self._call("/v3/kv/range", {"key": encode_text(key.encode())})
        return read(
            f"store {key}", answer, lambda found: self._take_first(key, found)
        ).map_error(drop_doubt)

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
        return read(
            f"store {prefix}",
            answer,
            lambda found: tuple(map(decode_entry, found.get("kvs", []))),
        ).map_error(drop_doubt)

    async def replace(
        self, key: str, data: bytes, revision: int, lease: int = 0
    ) -> Result[int, StoreFailure]:
        if len(data) > VALUE_LIMIT_BYTES:
            return Error(StoreFailure(f"store {key}", "the value is too large"))
        name = encode_text(key.encode())
        put = {"key": name, "value": encode_text(data), "lease": str(lease)}
        return await self._write(key, revision, {"requestPut": put})

    async def remove(self, key: str, revision: int) -> Result[None, StoreFailure]:
        delete = {"key": encode_text(key.encode())}
        written = await self._write(key, revision, {"requestDeleteRange": delete})
        return written.map(lambda _: None)

    async def _write(
        self, key: str, revision: int, operation: dict[str, Any]
    ) -> Result[int, StoreFailure]:
        """Carry out an operation if the key has the revision."""
        compare = {
            "key": encode_text(key.encode()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(revision),
        }
        body = {"compare": [compare], "success": [operation]}
        answer = await self._call("/v3/kv/txn", body)
        written = read(
            f"store {key}",
            answer,
            lambda found: (
                bool(found.get("succeeded")),
                int(found["header"]["revision"]),
            ),
        )
        if written.is_error():
            return Error(written.error)
        succeeded, reached = written.ok
        if not succeeded:
            return Error(Conflict(f"store {key}", "the value was changed"))
        return Ok(reached)

    async def grant_lease(self, seconds: int) -> Result[int, StoreFailure]:
        answer = await self._call("/v3/lease/grant", {"TTL": str(seconds)})
        return read("store lease", answer, lambda found: int(found["ID"]))

    async def renew_lease(self, lease: int) -> Result[int, StoreFailure]:
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return read(
            "store lease", answer, lambda found: int(found["result"].get("TTL", 0))
        )

    async def watch(self, key: str, revision: int) -> AsyncIterator[Entry]:
        body = {
            "create_request": {
                "key": encode_text(key.encode()),
                "start_revision": str(revision),
            }
        }
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CALL_TIMEOUT_SECONDS,
            sock_read=WATCH_SILENCE_SECONDS,
        )
        try:
            async with self._session.post(
                f"{self._url}/v3/watch", json=body, timeout=timeout
            ) as response:
                if response.status != STATUS_DONE:
                    return
                async for line in read_lines(response.content):
                    result = json.loads(line).get("result", {})
                    for event in result.get("events", []):
                        yield decode_entry(event["kv"])
                    if result.get("canceled"):
                        return
        except (TimeoutError, aiohttp.ClientError, ValueError, KeyError):
            return
