"""Stand-in of the platform's instance list, in HTTP service discovery format.

It lags: an answer shows the instances of some seconds ago.
"""

from dataclasses import dataclass, fields

from aiohttp import web

from shallotspindle_core.clock import Clock


@dataclass(slots=True)
class ListFaults:
    """Failures that the list shows on purpose.

    :param down: refuse every call.
    :param lag: age of the state that an answer shows, in seconds.
    """

    down: bool = False
    lag: float = 0.0


class ListStandin:
    """Answers the instances that tests or the demo put in.

    :param clock: measures the lag; without one, answers are never old.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.groups: dict[str, dict] = {}
        self.faults = ListFaults()
        self._clock = clock
        self._history: list[tuple[float, list[dict]]] = []

    def build_application(self) -> web.Application:
        application = web.Application()
        application.router.add_get("/instances", self.answer_list)
        application.router.add_post("/instances", self.put_instance)
        application.router.add_delete("/instances/{incarnation}", self.remove_instance)
        application.router.add_post("/faults", self.set_faults)
        return application

    def _note(self) -> None:
        """Keep the present state for answers that lag."""
        if self._clock is not None:
            now = self._clock.boottime()
            self._history.append((now, list(self.groups.values())))

    def find_groups(self) -> list[dict]:
        """Return the groups as the list shows them now."""
        if self._clock is None or not self.faults.lag:
            return list(self.groups.values())
        shown = self._clock.boottime() - self.faults.lag
        states = [groups for noted, groups in self._history if noted <= shown]
        return states[-1] if states else []

    async def answer_list(self, request: web.Request) -> web.Response:
        if self.faults.down:
            return web.Response(status=503)
        return web.json_response(self.find_groups())

    async def put_instance(self, request: web.Request) -> web.Response:
        group = await request.json()
        self.groups[group["labels"]["incarnation"]] = group
        self._note()
        return web.json_response({})

    async def remove_instance(self, request: web.Request) -> web.Response:
        self.groups.pop(request.match_info["incarnation"], None)
        self._note()
        return web.json_response({})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set faults from a JSON object with the fields of ``ListFaults``."""
        given = await request.json()
        if set(given) - {item.name for item in fields(ListFaults)}:
            return web.json_response({"error": "unknown fault"}, status=400)
        for name, value in given.items():
            setattr(self.faults, name, value)
        return web.json_response({})
