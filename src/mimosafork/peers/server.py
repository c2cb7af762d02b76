"""gRPC server that hands each exchange to the task which owns the feeds."""

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError
from datetime import timedelta
from typing import Any

import grpc

from .errors import InvalidPeerMessageError, PeerError
from .frames import ExchangeReply, ExchangeRequest
from .generated import exchange_pb2_grpc as rpc
from .traffic import Traffic
from .wire import reply_to_wire, request_from_wire

WORKERS = 4
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
"""A configuration of some thousand accounts must fit."""
ANSWER_TIMEOUT = timedelta(seconds=1)

SERVER_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # Two processes on one port would each get some of the calls.
    ("grpc.so_reuseport", 0),
]

Answerer = Callable[[ExchangeRequest, "Future[ExchangeReply]"], None]


class PeersServicer(rpc.PeersServicer):
    """Turns calls into requests and waits for the owner's reply.

    Parameters
    ----------
    answerer : callable
        Takes a request and the future to fulfil; must not block.
    """

    def __init__(self, answerer: Answerer) -> None:
        self.answerer = answerer
        self.traffic = Traffic()

    def Exchange(self, message: Any, context: grpc.ServicerContext) -> Any:  # noqa: N802
        """Answer one exchange; the name is the protocol's."""
        waiting: Future[ExchangeReply] = Future()
        self.traffic.add(received=message.ByteSize())
        try:
            self.answerer(request_from_wire(message), waiting)
            reply = waiting.result(timeout=ANSWER_TIMEOUT.total_seconds())
        except InvalidPeerMessageError as error:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        except FutureTimeoutError:
            # The owner may be behind or stopping. The caller is told at once, and
            # not left until its own timeout.
            waiting.cancel()
            context.abort(grpc.StatusCode.UNAVAILABLE, "busy")
        answer = reply_to_wire(reply)
        self.traffic.add(sent=answer.ByteSize())
        return answer


class PeersServer:
    """The listening side.

    Parameters
    ----------
    address : str
        ``IP:PORT``; port 0 takes a free one.
    answerer : callable
        See `PeersServicer`.

    Attributes
    ----------
    port : int
    traffic : Traffic

    Raises
    ------
    PeerError
        If the address can't be listened on.
    """

    def __init__(self, address: str, answerer: Answerer) -> None:
        pool = ThreadPoolExecutor(WORKERS, thread_name_prefix="peers-server")
        self.server = grpc.server(pool, options=SERVER_OPTIONS)
        servicer = PeersServicer(answerer)
        self.traffic = servicer.traffic
        rpc.add_PeersServicer_to_server(servicer, self.server)
        try:
            self.port = self.server.add_insecure_port(address)
        except RuntimeError as error:
            raise PeerError(f"can't listen on {address}: {error}") from error

    def start(self) -> None:
        """Begin to answer."""
        self.server.start()

    def stop(self) -> None:
        """Stop answering; running calls get a moment to end."""
        self.server.stop(grace=ANSWER_TIMEOUT.total_seconds()).wait()
