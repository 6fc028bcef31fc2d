"""A runner as a process of its own, whose streams have neither a length nor chunks.

Arguments: IP number, id, number of events, milliseconds between them. It prints a line
when it is ready, and one for each request that it runs.
"""

import asyncio
import sys

from review.harness_2.runner import ID, NOT_RUN, PORT
from review.harness_2.wire import Request, respond, serve


async def main(host: str, runner_id: str, events: int, gap_s: float) -> None:
    """Serve until killed."""

    async def handle(request: Request, writer: asyncio.StreamWriter) -> None:
        if request.header("x-chivespan-expect-instance", runner_id) != runner_id:
            respond(writer, 421, b"", NOT_RUN)
            return
        request_id = request.header(ID)
        last = int(request.header("last-event-id", "0"))
        print(f"request {request_id} is run after event {last}", flush=True)
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Chivespan-Request-Id: {request_id}",
            f"X-Chivespan-Server-Seal: s.{request_id}",
            "Connection: close",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        assert request.gone is not None
        for number in range(last + 1, events + 1):
            done, _ = await asyncio.wait([request.gone], timeout=gap_s)
            if done:
                return
            writer.write(f"id: {number}\ndata: {request_id}-{number}\n\n".encode())
            await writer.drain()

    server = await serve(host, PORT, handle)
    print("ready", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(
        main(sys.argv[1], sys.argv[2], int(sys.argv[3]), float(sys.argv[4]) / 1000)
    )
