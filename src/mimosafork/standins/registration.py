"""Entering a stand-in into the instance list, as its platform would."""

from http import HTTPStatus
from logging import getLogger
from urllib.parse import quote

import msgspec
import urllib3

from .errors import StandinError
from .instances import ListedInstance

logger = getLogger(__name__)

TIMEOUT_S = 2.0


class Registrar:
    """Keeps one entry of an instance list.

    Parameters
    ----------
    list_address : str
        `IP:PORT` of the instance list.
    """

    def __init__(self, list_address: str) -> None:
        self.list_address = list_address
        self.http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)

    def put(self, instance: ListedInstance) -> None:
        """Enter an instance, or change its entry.

        Raises
        ------
        StandinError
            If the list did not take it.
        """
        self._call("PUT", instance.id, msgspec.json.encode(instance))

    def remove(self, instance_id: str) -> None:
        """Take an instance out.

        Raises
        ------
        StandinError
            If the list did not take it.
        """
        self._call("DELETE", instance_id, None)

    def _call(self, method: str, instance_id: str, body: bytes | None) -> None:
        path = f"/v1/instances/{quote(instance_id, safe='')}"
        url = f"http://{self.list_address}{path}"
        headers = {"X-Instance": instance_id}
        try:
            answer = self.http.request(method, url, body=body, headers=headers)
        except urllib3.exceptions.HTTPError as error:
            raise StandinError(f"{method} {url}: {error}") from error
        if answer.status != HTTPStatus.NO_CONTENT:
            raise StandinError(f"{method} {url} was answered {answer.status}")
