import base64
import json

import aiohttp
import pytest
from aiohttp import web

from shallotspindle_environment.etcd import EtcdStore
from shallotspindle_environment.interface import (
    OutcomeUnknown,
    StoreBusy,
    StoredValue,
    StoreFailure,
)
from shallotspindle_environment.listing import HttpInstanceList

HEADER = {"revision": "7"}
LABELS = {"incarnation": "b", "failure_domain": "d"}


def build_group(incarnation, address):
    return {"targets": [address], "labels": {**LABELS, "incarnation": incarnation}}


@pytest.fixture
async def start_server():
    """Return a function that starts a server with one fixed response.

    The function returns an HTTP client and the URL of the server.
    """
    runners, sessions = [], []

    async def start(status, text):
        async def handle(request):
            return web.Response(status=status, text=text)

        application = web.Application()
        application.router.add_route("*", "/{path:.*}", handle)
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        runners.append(runner)
        sessions.append(aiohttp.ClientSession())
        return sessions[-1], f"http://127.0.0.1:{runner.addresses[0][1]}"

    yield start
    for session in sessions:
        await session.close()
    for runner in runners:
        await runner.cleanup()


class TestEtcdStore:
    @pytest.mark.parametrize(
        ("status", "text", "failure"),
        [
            (429, "{}", StoreBusy),
            (400, "{}", StoreFailure),
            # The gateway may have stopped waiting for a write that takes effect later.
            (503, "{}", OutcomeUnknown),
            (200, "no JSON", OutcomeUnknown),
            (200, "[]", OutcomeUnknown),
            (200, '{"succeeded": true}', OutcomeUnknown),
            (200, '{"succeeded": true, "header": {"revision": {}}}', OutcomeUnknown),
        ],
    )
    async def test_write_failure_says_whether_the_write_may_have_taken_effect(
        self, start_server, status, text, failure
    ):
        # Guards against a caller that repeats a write that took effect, or gives up one
        # that did not.
        store = EtcdStore(*await start_server(status, text))
        assert type((await store.replace("k", b"x", 0)).error) is failure

    async def test_a_key_that_is_no_text_hides_no_other(self, start_server):
        # Guards against one key of another writer that hides all others.
        values = [
            {"key": base64.b64encode(key).decode(), "mod_revision": "3"}
            for key in (b"\xff\xfe", b"sound")
        ]
        body = {"header": HEADER, "kvs": values}
        store = EtcdStore(*await start_server(200, json.dumps(body)))
        assert [item.key for item in (await store.list("s")).ok] == ["sound"]

    @pytest.mark.parametrize(
        "text",
        [
            "no JSON",
            "[]",
            "{}",
            '{"status": "ok"}',
            '{"kvs": []}',
            '{"result": {}}',
            '{"kvs": [{}]}',
            '{"kvs": 1}',
            "[" * 100_000,
            '{"kvs": [{"key": "aw==", "mod_revision": 1e999}]}',
            '{"kvs": [{"key": "aw==", "mod_revision": "' + "1" * 5000 + '"}]}',
        ],
        ids=[
            "text",
            "list",
            "empty",
            "status",
            "no-header",
            "no-lease",
            "no-key",
            "number",
            "nested",
            "infinite",
            "huge",
        ],
    )
    async def test_malformed_response_to_a_read_is_a_failure(self, start_server, text):
        # Guards against a malformed response that raises an exception in the caller,
        # and against a JSON object of another server that looks like an empty store.
        store = EtcdStore(*await start_server(200, text))
        assert type((await store.get("k")).error) is StoreFailure
        assert type((await store.list("k")).error) is StoreFailure
        assert (await store.grant_lease(5)).is_error()
        assert (await store.renew_lease(5)).is_error()
        assert [entry async for entry in store.watch("k", 1)] == []

    async def test_no_value_is_read_from_a_whole_response(self, start_server):
        # Guards against a key that counts as unreadable because it does not exist.
        body = json.dumps({"header": HEADER})
        store = EtcdStore(*await start_server(200, body))
        assert (await store.get("k")).ok == StoredValue("k", b"", 0)
        assert (await store.list("k")).ok == ()

    async def test_a_response_to_another_request_is_a_failure(self, start_server):
        # Guards against a value or a lease that was not asked for.
        key = base64.b64encode(b"other").decode()
        values = [{"key": key, "value": "eA==", "mod_revision": "3"}]
        renewed = {"ID": "6", "TTL": "5"}
        body = {"header": HEADER, "kvs": values, "result": renewed}
        store = EtcdStore(*await start_server(200, json.dumps(body)))
        assert (await store.get("k")).is_error()
        assert (await store.list("k")).is_error()
        assert (await store.renew_lease(5)).is_error()
        assert (await store.renew_lease(6)).ok == 5

    async def test_an_ended_lease_has_no_time_to_live(self, start_server):
        # Guards against a lease that is renewed for ever after it has ended.
        body = json.dumps({"result": {"ID": "5"}})
        store = EtcdStore(*await start_server(200, body))
        assert (await store.renew_lease(5)).ok == 0


class TestHttpInstanceList:
    @pytest.mark.parametrize("text", ["no JSON", "{}", '[{"targets": ["a"]}]', "[1]"])
    async def test_malformed_list_is_a_failure(self, start_server, text):
        # Guards against a malformed list that is taken for an empty one, so that all
        # instances count as ended.
        session, url = await start_server(200, text)
        assert (await HttpInstanceList(session, url).list()).is_error()

    @pytest.mark.parametrize(
        "malformed_group",
        [
            5,
            {"targets": ["10.0.0.2:99999"], "labels": LABELS},
            {"targets": ["10.0.0.2:1"], "labels": {"incarnation": 5}},
            {"targets": "10.0.0.2:1", "labels": LABELS},
        ],
    )
    async def test_a_malformed_group_hides_no_instance(
        self, start_server, malformed_group
    ):
        # Guards against one malformed group that stops the reading of the list, and
        # against an instance that counts as ended because its group turned malformed:
        # another one would take over what it still holds.
        sound_groups = [build_group("a", "10.0.0.1:1"), build_group("b", "10.0.0.2:1")]
        session, url = await start_server(200, json.dumps(sound_groups))
        instances = HttpInstanceList(session, url)
        assert len((await instances.list()).ok) == 2
        malformed_list = [build_group("a", "10.0.0.1:1"), malformed_group]
        _, instances._url = await start_server(200, json.dumps(malformed_list))
        listed = {item.instance.incarnation for item in (await instances.list()).ok}
        assert listed == {"a", "b"}
        _, instances._url = await start_server(200, json.dumps(sound_groups[:1]))
        listed = {item.instance.incarnation for item in (await instances.list()).ok}
        assert listed == {"a"}
