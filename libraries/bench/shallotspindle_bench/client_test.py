import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from shallotspindle_bench import faults
from shallotspindle_bench.arrivals import Arrival
from shallotspindle_bench.client import Client
from shallotspindle_bench.samples import Outcome
from shallotspindle_bench.scenarios import Fault
from shallotspindle_bench.targets import Balancer, Instance, Target

MARKER = "X-Request-Marker"


async def handle_request(request):
    length = 0
    async for chunk in request.content.iter_chunked(1 << 16):
        length += len(chunk)
    match request.path:
        case "/cut":
            response = web.StreamResponse(headers={"Content-Length": "9"})
            await response.prepare(request)
            await response.write(b"half")
            request.transport.abort()
            return response
        case "/other":
            return web.Response(headers={MARKER: "another"})
        case "/size":
            return web.Response(status=200 if length == 200_000 else 500)
    status = int(request.path[1:])
    return web.Response(status=status, headers={MARKER: request.headers[MARKER]})


async def send(path, **fields):
    application = web.Application()
    application.router.add_route("*", "/{path:.*}", handle_request)
    recorded = []
    async with TestServer(application) as server:
        address = f"127.0.0.1:{server.port}"
        target = Target(instances=(Instance(name="i", callers=address),))
        arrival = Arrival(0, "t", "k", "kind", "POST", path, "m", **fields)
        async with Client(target) as client:
            await client.send_all([arrival], 0.0, recorded.append)
    return recorded[0].outcome


class TestOutcomes:
    @pytest.mark.parametrize(
        ("path", "outcome"),
        [
            ("/200", Outcome.COMPLETE),
            ("/429", Outcome.REFUSED),
            ("/503", Outcome.SHED),
            ("/502", Outcome.FAILED),
            ("/cut", Outcome.TRUNCATED),
            ("/other", Outcome.WRONG),
        ],
    )
    async def test_outcome_follows_from_the_response(self, path, outcome):
        # Guards against failed, cut or mixed-up responses that count as complete.
        assert await send(path) == outcome

    async def test_response_after_the_deadline_is_late(self):
        # Guards against late responses that count as complete.
        assert await send("/200", deadline=0.0) == Outcome.LATE

    async def test_request_body_has_the_given_length(self):
        # Guards against a last chunk that is too long or missing.
        assert await send("/size", body=200_000) == Outcome.COMPLETE


class TestBalancer:
    def test_instances_that_are_not_ready_get_no_requests(self):
        # Guards against requests to an instance that is shutting down.
        instances = tuple(Instance(name=n, callers="") for n in "abc")
        balancer = Balancer(instances)
        balancer.update(1, False)
        assert [balancer.choose().name for _ in range(4)] == ["a", "c", "a", "c"]
        balancer.update(1, True)
        assert {balancer.choose().name for _ in range(3)} == {"a", "b", "c"}


class TestFaults:
    async def test_faults_are_posted_in_order_of_their_times(self):
        # Guards against faults that are injected in the order of the scenario file.
        posted = []

        async def record_fault(request):
            posted.append((request.path, await request.json()))
            return web.json_response({})

        application = web.Application()
        application.router.add_post("/{path:.*}", record_fault)
        async with TestServer(application) as server:
            address = f"127.0.0.1:{server.port}"
            target = Target(
                instances=(Instance(name="i", callers=address),),
                upstreams={"u": address},
                store=address,
            )
            scheduled = [
                Fault(at=0.001, target="store", fields={"down": True}),
                Fault(at=0, target="upstream", upstream="u", fields={"slow": 1}),
            ]
            await faults.apply_all(scheduled, target)
        assert posted == [("/_behaviour", {"slow": 1}), ("/faults", {"down": True})]

    def test_all_faults_that_the_target_lacks_are_reported(self):
        # Guards against a run that aborts half-way because of a misspelt upstream.
        target = Target(instances=(Instance(name="i", callers=""),))
        scheduled = [
            Fault(at=0, target="store"),
            Fault(at=0, target="upstream", upstream="u"),
            Fault(at=0, target="signal", instance=3),
            Fault(at=0, target="signal"),
        ]
        assert len(faults.check(scheduled, target).error) == len(scheduled)
