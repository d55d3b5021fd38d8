"""Stand-in for the platform's instance list, in HTTP service discovery format.

Like the real list it can lag: a response then shows an earlier state.
"""

from dataclasses import dataclass, fields

from aiohttp import web

from shallotspindle_core.clock import Clock


@dataclass(slots=True)
class ListFaults:
    """Injected faults of the list; the field names are keys of ``POST /faults``.

    :param down: respond to every read of the list with 503.
    :param lag: age of the state that a response shows, in seconds.
    """

    down: bool = False
    lag: float = 0.0


class InstanceListStandin:
    """Serves the instances that tests, tools or the demo register.

    :param clock: measures the lag; without a clock, responses are always current.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.groups: dict[str, dict] = {}
        self.faults = ListFaults()
        self._clock = clock
        self._history: list[tuple[float, list[dict]]] = []

    def build_application(self) -> web.Application:
        application = web.Application()
        application.router.add_get("/instances", self.handle_list)
        application.router.add_post("/instances", self.handle_put)
        application.router.add_delete("/instances/{incarnation}", self.handle_remove)
        application.router.add_post("/faults", self.handle_faults)
        return application

    def _record_state(self) -> None:
        """Keep the current state for responses that lag."""
        if self._clock is not None:
            now = self._clock.boottime()
            self._history.append((now, list(self.groups.values())))

    def find_visible_groups(self) -> list[dict]:
        """Return the target groups that the list currently shows."""
        if self._clock is None or not self.faults.lag:
            return list(self.groups.values())
        shown_at = self._clock.boottime() - self.faults.lag
        states = [
            groups for recorded_at, groups in self._history if recorded_at <= shown_at
        ]
        return states[-1] if states else []

    async def handle_list(self, request: web.Request) -> web.Response:
        if self.faults.down:
            return web.Response(status=503)
        return web.json_response(self.find_visible_groups())

    async def handle_put(self, request: web.Request) -> web.Response:
        group = await request.json()
        self.groups[group["labels"]["incarnation"]] = group
        self._record_state()
        return web.json_response({})

    async def handle_remove(self, request: web.Request) -> web.Response:
        self.groups.pop(request.match_info["incarnation"], None)
        self._record_state()
        return web.json_response({})

    async def handle_faults(self, request: web.Request) -> web.Response:
        """Set faults from a JSON object with the fields of ``ListFaults``."""
        new_faults = await request.json()
        if set(new_faults) - {item.name for item in fields(ListFaults)}:
            return web.json_response({"error": "unknown fault"}, status=400)
        for name, value in new_faults.items():
            setattr(self.faults, name, value)
        return web.json_response({})
