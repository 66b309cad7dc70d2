"""Stand-ins of servers whose answers have bodies without end, once they are told so.

Arguments: names, separated by commas. Prints the addresses as JSON. A line `endless` on standard input
begins the fault. Before it they answer with ten records.
"""

import asyncio
import json
import sys

import stand_ins_2 as s

WORK_S = 0.02
# As the shards' servers of a small site: requests at once, further ones that wait, and connections.
SLOTS, QUEUE, CONNECTIONS = 5, 30, 41
PIECE = bytes(65536)
endless = False


def server(name):
    slots = asyncio.Semaphore(SLOTS)
    inside, connections = 0, 0

    async def run(head, reader, writer):
        attempt = head[1].get(s.ATTEMPT, "")
        headers = {s.ATTEMPT: attempt, s.STAMP: f"{name}.{attempt}"}
        async with slots:
            if reader.at_eof():
                raise ConnectionError
            await asyncio.sleep(WORK_S)
            if not endless:
                writer.write(s.answer(200, headers, bytes(160)))
                await writer.drain()
                return
            # No length: the body lasts until the connection closes, which the gateway has to do. It
            # holds its slot until then.
            writer.write(s.message("HTTP/1.1 200 OK", headers))
            while True:
                writer.write(PIECE)
                await writer.drain()

    async def serve(reader, writer):
        nonlocal inside, connections
        connections += 1
        try:
            if connections > CONNECTIONS:
                writer.transport.abort()
                return
            while (head := await s.read_head(reader)) is not None:
                await s.read_body(reader, head[1])
                if head[1].get(s.EXPECTED, name) != name:
                    writer.write(s.answer(421, {"x-thornbridge-instance-id": name}))
                elif inside >= SLOTS + QUEUE:
                    shed = {s.ATTEMPT: head[1].get(s.ATTEMPT, ""), s.NOT_EXECUTED: "1"}
                    writer.write(s.answer(503, shed))
                else:
                    inside += 1
                    try:
                        await run(head, reader, writer)
                    finally:
                        inside -= 1
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            connections -= 1
            writer.close()
    return serve


async def main():
    global endless
    addresses, servers = {}, []
    for name in sys.argv[1].split(","):
        servers.append(await asyncio.start_server(server(name), s.HOST, 0, limit=1 << 20))
        addresses[name] = "%s:%d" % servers[-1].sockets[0].getsockname()
    print(json.dumps(addresses), flush=True)
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while line := await commands.readline():
        endless = line.strip() == b"endless"


asyncio.run(main())
