"""Client of the store for the JSON gateway of etcd v3.

A write whose response was lost fails with ``OutcomeUnknown``. The caller then reads the
key to see whether the write took effect.
"""

import base64
import json
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeVar

import aiohttp
from expression import Error, Ok, Result

from shallotspindle_environment.interface import (
    MAX_VALUE_BYTES,
    Conflict,
    OutcomeUnknown,
    StoreBusy,
    StoredValue,
    StoreFailure,
)

REQUEST_TIMEOUT_SECONDS = 2.0
# A watch ends after this time without a change, and its caller opens a new one. This
# also ends a watch whose connection was cut in one direction only.
WATCH_IDLE_TIMEOUT_SECONDS = 60.0
MAX_WATCH_LINE_BYTES = 4_000_000
STATUS_OK = 200
STATUS_TOO_MANY_REQUESTS = 429
MIN_SERVER_ERROR_STATUS = 500
Value = TypeVar("Value")

CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


def encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def decode_value(item: dict[str, Any]) -> StoredValue:
    """Convert a key-value object of the etcd gateway."""
    return StoredValue(
        key=base64.b64decode(item["key"]).decode(),
        data=base64.b64decode(item.get("value", "")),
        revision=int(item.get("mod_revision", 0)),
    )


def compute_range_end(prefix: str) -> bytes:
    """Return the end of the key range of a prefix: the first key after it."""
    data = prefix.encode()
    return data[:-1] + bytes([data[-1] + 1])


def build_status_failure(source: str, status: int) -> StoreFailure:
    """Return the failure for an HTTP status other than 200.

    The outcome is unknown after a status of 5xx, as the etcd gateway also sends one
    when it stops waiting for a write that may still take effect.
    """
    if status == STATUS_TOO_MANY_REQUESTS:
        return StoreBusy(source, "the store limits the request rate", str(status))
    if status >= MIN_SERVER_ERROR_STATUS:
        return OutcomeUnknown(source, "the store failed", str(status))
    return StoreFailure(source, "the request was rejected", str(status))


def convert_to_read_failure(failure: StoreFailure) -> StoreFailure:
    """Replace an unknown outcome by a plain failure.

    A request that writes nothing has changed nothing, even if its response was lost.
    """
    if isinstance(failure, OutcomeUnknown):
        return StoreFailure(failure.source, failure.message, failure.item)
    return failure


def convert_response(
    source: str,
    response: Result[dict[str, Any], StoreFailure],
    convert: Callable[[dict[str, Any]], Value],
) -> Result[Value, StoreFailure]:
    """Convert a response; one with missing or wrong fields is a failure."""
    if response.is_error():
        return Error(response.error)
    try:
        return Ok(convert(response.ok))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Error(OutcomeUnknown(source, "the response is malformed", repr(error)))


async def read_lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield the lines of a stream, and stop at a line that is too long.

    The line iterator of aiohttp fails at much shorter lines than a watch can send.
    """
    remainder = b""
    async for chunk in content.iter_any():
        *lines, remainder = (remainder + chunk).split(b"\n")
        for line in lines:
            yield line
        if len(remainder) > MAX_WATCH_LINE_BYTES:
            return


class EtcdStore:
    """Implements ``Store`` with an etcd v3 JSON gateway.

    :param session: HTTP client; the caller closes it.
    :param url: base URL of the gateway.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)

    async def _post(
        self, path: str, body: dict[str, Any]
    ) -> Result[dict[str, Any], StoreFailure]:
        source = f"store {path}"
        try:
            async with self._session.post(
                f"{self._url}{path}", json=body, timeout=self._timeout
            ) as response:
                if response.status != STATUS_OK:
                    return Error(build_status_failure(source, response.status))
                return Ok(await response.json(content_type=None))
        except CONNECT_ERRORS as error:
            return Error(StoreFailure(source, "no connection", str(error)))
        except (TimeoutError, aiohttp.ClientError, json.JSONDecodeError) as error:
            error_name = type(error).__name__
            return Error(OutcomeUnknown(source, "the response was lost", error_name))

    async def get(self, key: str) -> Result[StoredValue, StoreFailure]:
        response = await self._post(
            "/v3/kv/range", {"key": encode_base64(key.encode())}
        )
        return convert_response(
            f"store {key}", response, lambda decoded: self._decode_first(key, decoded)
        ).map_error(convert_to_read_failure)

    @staticmethod
    def _decode_first(key: str, decoded: dict[str, Any]) -> StoredValue:
        items = decoded.get("kvs", [])
        return decode_value(items[0]) if items else StoredValue(key, b"", 0)

    async def list(self, prefix: str) -> Result[tuple[StoredValue, ...], StoreFailure]:
        body = {
            "key": encode_base64(prefix.encode()),
            "range_end": encode_base64(compute_range_end(prefix)),
        }
        response = await self._post("/v3/kv/range", body)
        return convert_response(
            f"store {prefix}",
            response,
            lambda decoded: tuple(map(decode_value, decoded.get("kvs", []))),
        ).map_error(convert_to_read_failure)

    async def replace(
        self, key: str, data: bytes, revision: int, lease_id: int = 0
    ) -> Result[int, StoreFailure]:
        if len(data) > MAX_VALUE_BYTES:
            return Error(StoreFailure(f"store {key}", "the value is too large"))
        encoded_key = encode_base64(key.encode())
        put = {"key": encoded_key, "value": encode_base64(data), "lease": str(lease_id)}
        return await self._write(key, revision, {"requestPut": put})

    async def remove(self, key: str, revision: int) -> Result[None, StoreFailure]:
        delete = {"key": encode_base64(key.encode())}
        written = await self._write(key, revision, {"requestDeleteRange": delete})
        return written.map(lambda _: None)

    async def _write(
        self, key: str, revision: int, operation: dict[str, Any]
    ) -> Result[int, StoreFailure]:
        """Carry out an operation if the revision of the key is the given one."""
        compare = {
            "key": encode_base64(key.encode()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(revision),
        }
        body = {"compare": [compare], "success": [operation]}
        response = await self._post("/v3/kv/txn", body)
        written = convert_response(
            f"store {key}",
            response,
            lambda decoded: (
                bool(decoded.get("succeeded")),
                int(decoded["header"]["revision"]),
            ),
        )
        if written.is_error():
            return Error(written.error)
        succeeded, new_revision = written.ok
        if not succeeded:
            return Error(Conflict(f"store {key}", "the value was changed"))
        return Ok(new_revision)

    async def grant_lease(self, ttl_seconds: int) -> Result[int, StoreFailure]:
        response = await self._post("/v3/lease/grant", {"TTL": str(ttl_seconds)})
        return convert_response(
            "store lease", response, lambda decoded: int(decoded["ID"])
        )

    async def renew_lease(self, lease_id: int) -> Result[int, StoreFailure]:
        response = await self._post("/v3/lease/keepalive", {"ID": str(lease_id)})
        return convert_response(
            "store lease",
            response,
            lambda decoded: int(decoded["result"].get("TTL", 0)),
        )

    async def watch(self, key: str, revision: int) -> AsyncIterator[StoredValue]:
        body = {
            "create_request": {
                "key": encode_base64(key.encode()),
                "start_revision": str(revision),
            }
        }
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=REQUEST_TIMEOUT_SECONDS,
            sock_read=WATCH_IDLE_TIMEOUT_SECONDS,
        )
        try:
            async with self._session.post(
                f"{self._url}/v3/watch", json=body, timeout=timeout
            ) as response:
                if response.status != STATUS_OK:
                    return
                async for line in read_lines(response.content):
                    result = json.loads(line).get("result", {})
                    for event in result.get("events", []):
                        yield decode_value(event["kv"])
                    if result.get("canceled"):
                        return
        except (TimeoutError, aiohttp.ClientError, ValueError, KeyError):
            return
