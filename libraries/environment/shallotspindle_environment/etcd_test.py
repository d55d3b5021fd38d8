import aiohttp
import pytest
from aiohttp import web

from shallotspindle_environment.etcd import EtcdStore
from shallotspindle_environment.interface import OutcomeUnknown, StoreBusy, StoreFailure
from shallotspindle_environment.listing import HttpInstanceList


@pytest.fixture
async def answer():
    """Start a server with one fixed answer and return a session and its address."""
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
            # The gateway may have given up on a write that takes effect later.
            (503, "{}", OutcomeUnknown),
            (200, "no JSON", OutcomeUnknown),
            (200, "[]", OutcomeUnknown),
            (200, '{"succeeded": true}', OutcomeUnknown),
            (200, '{"succeeded": true, "header": {"revision": {}}}', OutcomeUnknown),
        ],
    )
    async def test_answer_to_a_write_tells_whether_it_may_have_taken_effect(
        self, answer, status, text, failure
    ):
        # Guards against a write that is repeated or given up by mistake.
        store = EtcdStore(*await answer(status, text))
        assert type((await store.replace("k", b"x", 0)).error) is failure

    @pytest.mark.parametrize("text", ["no JSON", "[]", '{"kvs": [{}]}', '{"kvs": 1}'])
    async def test_malformed_answer_to_a_read_is_a_failure(self, answer, text):
        store = EtcdStore(*await answer(200, text))
        assert type((await store.get("k")).error) is StoreFailure
        assert type((await store.list("k")).error) is StoreFailure
        assert (await store.grant_lease(5)).is_error()
        assert [entry async for entry in store.watch("k", 1)] == []


class TestHttpInstanceList:
    @pytest.mark.parametrize("text", ["no JSON", "{}", '[{"targets": ["a"]}]', "[1]"])
    async def test_malformed_list_is_a_failure(self, answer, text):
        # Guards against a malformed list that counts as a list without instances.
        session, url = await answer(200, text)
        assert (await HttpInstanceList(session, url).list()).is_error()
