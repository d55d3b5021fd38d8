"""Client of the store for the JSON gateway of etcd v3.

A write whose response was lost fails with ``OutcomeUnknown``. The caller then reads the
key to see whether the write took effect.
"""

import base64
from collections.abc import AsyncIterator, Callable
from typing import Annotated, Any, TypeVar

import aiohttp
from absl import logging
from expression import Error, Ok, Result
from pydantic import BaseModel, Field, TypeAdapter

from shallotspindle_environment.interface import (
    MAX_VALUE_BYTES,
    Conflict,
    OutcomeUnknown,
    StoreBusy,
    StoredValue,
    StoreFailure,
)
from shallotspindle_validation import documents
from shallotspindle_validation.documents import MalformedDocument
from shallotspindle_validation.fields import Revision

REQUEST_TIMEOUT_SECONDS = 2.0
# A watch ends after this time without a change, and its caller opens a new one. This
# also ends a watch whose connection was cut in one direction only.
WATCH_IDLE_TIMEOUT_SECONDS = 60.0
MAX_WATCH_LINE_BYTES = 4_000_000
STATUS_OK = 200
STATUS_TOO_MANY_REQUESTS = 429
MIN_SERVER_ERROR_STATUS = 500
Value = TypeVar("Value")
Model = TypeVar("Model")

CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


def encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


class WireValue(BaseModel):
    """A key-value object of the etcd gateway; numbers are text.

    :param key: base64 text.
    :param value: base64 text; absent for an empty value.
    """

    key: str
    value: str = ""
    mod_revision: Revision = 0


class WireHeader(BaseModel):
    """Header of each response, with the revision of the store."""

    revision: Revision


class WireRange(BaseModel):
    """Response to a read; ``kvs`` is absent if there are no values.

    :param header: required, since any other JSON object would look like no values.
    """

    header: WireHeader
    kvs: list[WireValue] = Field(default_factory=list)


class WireWritten(BaseModel):
    """Response to a transaction; ``succeeded`` is absent if a condition failed."""

    succeeded: bool = False
    header: WireHeader


class WireLease(BaseModel):
    """Response to the creation of a lease."""

    lease_id: Annotated[Revision, Field(alias="ID")]


class WireRenewal(BaseModel):
    """The part of the response to a renewal that matters.

    :param ttl_seconds: time to live; absent or 0 for an ended lease.
    """

    lease_id: Annotated[Revision, Field(alias="ID")]
    ttl_seconds: Annotated[Revision, Field(alias="TTL")] = 0


class WireRenewed(BaseModel):
    """Response to a renewal."""

    result: WireRenewal


class WireEvent(BaseModel):
    """A change of a key."""

    kv: WireValue


class WireChanges(BaseModel):
    """The part of a line of a watch that matters."""

    events: list[WireEvent] = Field(default_factory=list)
    canceled: bool = False


class WireWatchLine(BaseModel):
    """A line of the response to a watch."""

    result: WireChanges = Field(default_factory=WireChanges)


RANGE_ADAPTER = TypeAdapter(WireRange)
WRITTEN_ADAPTER = TypeAdapter(WireWritten)
LEASE_ADAPTER = TypeAdapter(WireLease)
RENEWED_ADAPTER = TypeAdapter(WireRenewed)


def decode_value(item: WireValue) -> StoredValue:
    """Decode the base64 texts of a key-value object.

    :raises ValueError: if one of them is no base64, or the key is no UTF-8.
    """
    return StoredValue(
        key=base64.b64decode(item.key).decode(),
        data=base64.b64decode(item.value),
        revision=item.mod_revision,
    )


def decode_values(items: list[WireValue]) -> tuple[StoredValue, ...]:
    """Decode objects, without those whose key is no UTF-8: none of ours is."""
    values = []
    for item in items:
        try:
            values.append(decode_value(item))
        except ValueError as error:
            logging.warning("ignored the value of an unreadable key: %s", error)
    return tuple(values)


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


def build_mismatch(source: str, received: str) -> StoreFailure:
    """Return the failure for a response to another request."""
    return StoreFailure(source, "the response is to another request", received)


def build_malformed(source: str, failure: MalformedDocument) -> OutcomeUnknown:
    """Return the failure for a response that cannot be read."""
    return OutcomeUnknown(source, "the response is malformed", str(failure))


def convert_response(
    source: str,
    response: Result[bytes, StoreFailure],
    adapter: TypeAdapter[Model],
    convert: Callable[[Model], Value],
) -> Result[Value, StoreFailure]:
    """Check and convert a response; one with missing or wrong fields is a failure."""
    if response.is_error():
        return Error(response.error)
    checked = documents.decode_lax(adapter, source, response.ok)
    if checked.is_error():
        return Error(build_malformed(source, checked.error))
    return Ok(convert(checked.ok))


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
    ) -> Result[bytes, StoreFailure]:
        source = f"store {path}"
        try:
            async with self._session.post(
                f"{self._url}{path}", json=body, timeout=self._timeout
            ) as response:
                if response.status != STATUS_OK:
                    return Error(build_status_failure(source, response.status))
                return Ok(await response.read())
        except CONNECT_ERRORS as error:
            return Error(StoreFailure(source, "no connection", str(error)))
        except (TimeoutError, aiohttp.ClientError) as error:
            error_name = type(error).__name__
            return Error(OutcomeUnknown(source, "the response was lost", error_name))

    async def get(self, key: str) -> Result[StoredValue, StoreFailure]:
        response = await self._post(
            "/v3/kv/range", {"key": encode_base64(key.encode())}
        )
        values = convert_response(
            f"store {key}", response, RANGE_ADAPTER, lambda page: page.kvs
        ).map_error(convert_to_read_failure)
        if values.is_error():
            return Error(values.error)
        if not values.ok:
            return Ok(StoredValue(key, b"", 0))
        decoded = decode_values(values.ok[:1])
        if not decoded:
            return Error(StoreFailure(f"store {key}", "the value is unreadable"))
        if decoded[0].key != key:
            return Error(build_mismatch(f"store {key}", decoded[0].key))
        return Ok(decoded[0])

    async def list(self, prefix: str) -> Result[tuple[StoredValue, ...], StoreFailure]:
        body = {
            "key": encode_base64(prefix.encode()),
            "range_end": encode_base64(compute_range_end(prefix)),
        }
        response = await self._post("/v3/kv/range", body)
        values = convert_response(
            f"store {prefix}",
            response,
            RANGE_ADAPTER,
            lambda page: decode_values(page.kvs),
        ).map_error(convert_to_read_failure)
        if values.is_error():
            return Error(values.error)
        for value in values.ok:
            if not value.key.startswith(prefix):
                return Error(build_mismatch(f"store {prefix}", value.key))
        return Ok(values.ok)

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
            WRITTEN_ADAPTER,
            lambda body: body,
        )
        if written.is_error():
            return Error(written.error)
        if not written.ok.succeeded:
            return Error(Conflict(f"store {key}", "the value was changed"))
        return Ok(written.ok.header.revision)

    async def grant_lease(self, ttl_seconds: int) -> Result[int, StoreFailure]:
        response = await self._post("/v3/lease/grant", {"TTL": str(ttl_seconds)})
        return convert_response(
            "store lease", response, LEASE_ADAPTER, lambda body: body.lease_id
        )

    async def renew_lease(self, lease_id: int) -> Result[int, StoreFailure]:
        response = await self._post("/v3/lease/keepalive", {"ID": str(lease_id)})
        renewed = convert_response(
            "store lease", response, RENEWED_ADAPTER, lambda body: body.result
        )
        if renewed.is_error():
            return Error(renewed.error)
        if renewed.ok.lease_id != lease_id:
            return Error(build_mismatch("store lease", str(renewed.ok.lease_id)))
        return Ok(renewed.ok.ttl_seconds)

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
                    decoded = documents.decode_model(WireWatchLine, "watch", line)
                    if decoded.is_error():
                        logging.warning("the watch ended: %s", decoded.error[0])
                        return
                    result = decoded.ok.result
                    for value in decode_values([event.kv for event in result.events]):
                        yield value
                    if result.canceled:
                        return
        except (TimeoutError, aiohttp.ClientError):
            return
