"""Stand-in of the platform's instance list, in HTTP service discovery format."""

from aiohttp import web


class ListStandin:
    """Answers the instances that tests or the demo put in."""

    def __init__(self) -> None:
        self.groups: dict[str, dict] = {}

    def build_application(self) -> web.Application:
        application = web.Application()
        application.router.add_get("/instances", self.answer_list)
        application.router.add_post("/instances", self.put_instance)
        application.router.add_delete("/instances/{incarnation}", self.remove_instance)
        return application

    async def answer_list(self, request: web.Request) -> web.Response:
        return web.json_response(list(self.groups.values()))

    async def put_instance(self, request: web.Request) -> web.Response:
        group = await request.json()
        self.groups[group["labels"]["incarnation"]] = group
        return web.json_response({})

    async def remove_instance(self, request: web.Request) -> web.Response:
        self.groups.pop(request.match_info["incarnation"], None)
        return web.json_response({})
