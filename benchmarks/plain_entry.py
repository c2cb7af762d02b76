"""The baseline: a CherryPy handler that yields what urllib3 reads.

It does far less than an entry instance: no keys, no kernel, no look at the
events. Run as ``python -m benchmarks.plain_entry THREADS ENGINE...``; prints
``ready IP:PORT``.
"""

import itertools
import signal
import sys
import threading
from collections.abc import Iterator, Sequence
from types import FrameType
from typing import Any

import cherrypy
import urllib3
from cheroot import wsgi

CHUNK_BYTES = 65536


class PlainFront:
    """Passes streams on, each in the thread that read its request."""

    def __init__(self, engines: Sequence[str]) -> None:
        self.next_engine = itertools.cycle(engines)
        self.pool = urllib3.PoolManager(
            num_pools=len(engines), maxsize=2000, retries=False
        )

    @cherrypy.expose
    def default(self, *path: str) -> Iterator[bytes]:
        """Answer with what an engine answers."""
        body = cherrypy.request.rfile.read()
        cherrypy.response.headers["Content-Type"] = "text/event-stream"
        return self.relay(body)

    def relay(self, body: bytes) -> Iterator[bytes]:
        """Yield an engine's stream as it comes."""
        answer: Any = self.pool.request(
            "POST",
            f"http://{next(self.next_engine)}/v1/streams",
            body=body,
            headers={"Content-Type": "application/json"},
            preload_content=False,
        )
        try:
            while chunk := answer.read1(CHUNK_BYTES):
                yield chunk
        finally:
            answer.release_conn()


def main(threads: int, engines: Sequence[str]) -> None:
    """Serve until SIGTERM."""
    config = {
        "/": {"request.process_request_body": False, "response.stream": True},
    }
    cherrypy.log.screen = False
    app = cherrypy.Application(PlainFront(engines), "", config)
    app.log.access_log.disabled = True
    server = wsgi.Server(
        ("127.0.0.1", 0), app, numthreads=threads, request_queue_size=1024
    )
    server.prepare()
    host, port = server.socket.getsockname()
    stopping = threading.Event()

    def stop(number: int, frame: FrameType | None) -> None:
        stopping.set()

    signal.signal(signal.SIGTERM, stop)
    threading.Thread(target=server.serve, daemon=True).start()
    print(f"ready {host}:{port}", flush=True)
    stopping.wait()


if __name__ == "__main__":
    main(int(sys.argv[1]), sys.argv[2:])
