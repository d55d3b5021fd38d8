"""Base class of the tasks that own their state and communicate by messages.

A task handles the messages of its inbox one at a time and is the only writer of its
state, so that the state needs no locks. Other tasks send it a message and may await
the reply.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

from aiomisc import Service

from shallotspindle_telemetry.unexpected import UnexpectedErrors


@dataclass(slots=True)
class Envelope:
    """A message in an inbox, with the future for its reply.

    :param reply: resolved with the handler's result; None if the sender does not wait.
    """

    message: Any
    reply: asyncio.Future | None


class InboxTask(Service):
    """Service with a message inbox; subclasses implement ``handle``.

    ``errors`` counts unexpected errors; each ends only the message that caused it.
    """

    def __init__(self, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._inbox: asyncio.Queue[Envelope] = asyncio.Queue()
        self.errors = UnexpectedErrors()

    async def handle(self, message: Any) -> Any:
        """Handle one message and return the reply."""
        raise NotImplementedError

    def tell(self, message: Any) -> None:
        """Send a message without awaiting a reply."""
        self._inbox.put_nowait(Envelope(message, None))

    async def ask(self, message: Any) -> Any:
        """Send a message and await the reply."""
        reply = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(Envelope(message, reply))
        return await reply

    async def prepare(self) -> None:
        """Open sockets and start background coroutines before the first message."""

    async def start(self) -> None:
        await self.prepare()
        self.start_event.set()
        while True:
            envelope = await self._inbox.get()
            await self._process(envelope)

    async def _process(self, envelope: Envelope) -> None:
        try:
            result = await self.handle(envelope.message)
        except Exception as error:
            # The sender gets the error; the next message is handled as usual.
            self.errors.record(type(envelope.message).__name__)
            if envelope.reply is not None and not envelope.reply.done():
                envelope.reply.set_exception(error)
            return
        if envelope.reply is not None and not envelope.reply.done():
            envelope.reply.set_result(result)
