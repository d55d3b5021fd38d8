import asyncio

import pytest

from shallotspindle_soak.proxies import FaultProxy


class TestReset:
    async def test_client_sees_a_reset_and_no_normal_end_of_stream(self):
        # Guards against a response without a length that looks complete after a reset.
        async def serve(reader, writer):
            writer.write(b"half")
            await reader.read()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        proxy = FaultProxy(*server.sockets[0].getsockname()[:2])
        host, _, port = (await proxy.start()).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        assert await reader.readexactly(4) == b"half"
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()
        await proxy.stop()
        server.close()
