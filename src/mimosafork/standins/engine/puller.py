"""Pulling exported KV from another engine, beside the engine's own task."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import quote

import msgspec
import urllib3

from ..http import Exchange
from .messages import ExportContent, ImportStart

PULL_TIMEOUT_S = 10.0
PULL_THREADS = 4


@dataclass(frozen=True, slots=True)
class ImportPulled:
    """A pull has ended; the content is None if it failed.

    Parameters
    ----------
    incarnation : int
        The life of the engine that asked for it.
    """

    start: ImportStart
    exchange: Exchange
    incarnation: int
    content: ExportContent | None
    detail: str = ""


class KvPuller:
    """Fetches exports in threads of its own and reports by messages.

    Parameters
    ----------
    send : callable
        Hands a message to the engine's task.
    instance : str
        The endpoint's id, by which the source can tell who pulls.
    """

    def __init__(self, send: Callable[[ImportPulled], None], instance: str) -> None:
        self.send = send
        self.http = urllib3.PoolManager(
            headers={"X-Instance": instance},
            timeout=urllib3.Timeout(total=PULL_TIMEOUT_S),
            retries=False,
        )
        self.threads = ThreadPoolExecutor(PULL_THREADS, "kv-pull")

    def pull(self, start: ImportStart, exchange: Exchange, incarnation: int) -> None:
        """Begin a pull, whose end is sent as `ImportPulled`."""
        self.threads.submit(self._pull, start, exchange, incarnation)

    def stop(self) -> None:
        """Begin no more pulls."""
        self.threads.shutdown(wait=False, cancel_futures=True)

    def _pull(self, start: ImportStart, exchange: Exchange, incarnation: int) -> None:
        handle = quote(start.handle, safe="")
        url = f"http://{start.source}/v1/kv/exports/{handle}/content"
        content = None
        detail = ""
        try:
            answer = self.http.request("GET", url)
            if answer.status == HTTPStatus.OK:
                content = msgspec.json.decode(answer.data, type=ExportContent)
            else:
                detail = f"{start.source} answered {answer.status}"
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            detail = f"{start.source}: {error}"
        self.send(ImportPulled(start, exchange, incarnation, content, detail))
