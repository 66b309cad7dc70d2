"""Stand-ins of servers whose answers have bodies without end, once they are told so.

Arguments: names, separated by commas. Prints the addresses as JSON. A line `endless` on standard input
begins the fault. Before it they answer with ten records.
"""

import asyncio
import json
import sys

import stand_ins_2 as s

WORK_S = 0.02
PIECE = bytes(65536)
endless = False


def server(name):
    async def serve(reader, writer):
        try:
            while (head := await s.read_head(reader)) is not None:
                await s.read_body(reader, head[1])
                await asyncio.sleep(WORK_S)
                attempt = head[1].get(s.ATTEMPT, "")
                headers = {s.ATTEMPT: attempt, s.STAMP: f"{name}.{attempt}"}
                if not endless:
                    writer.write(s.answer(200, headers, bytes(160)))
                    await writer.drain()
                    continue
                # No length: the body lasts until the connection closes, which the gateway has to do.
                writer.write(s.message("HTTP/1.1 200 OK", headers))
                while True:
                    writer.write(PIECE)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
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
