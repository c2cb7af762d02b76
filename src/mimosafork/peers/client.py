"""gRPC calls to peers that never block their caller."""

from collections import OrderedDict
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from logging import getLogger

import grpc

from ..telemetry.catalogue.lifecycle import TASK_FAILED
from ..telemetry.logs import log_event
from .errors import PeerError
from .frames import ExchangeReply, ExchangeRequest
from .generated import exchange_pb2_grpc as rpc
from .server import MAX_MESSAGE_BYTES
from .traffic import Traffic
from .wire import reply_from_wire, request_to_wire

logger = getLogger(__name__)

CALL_TIMEOUT = timedelta(seconds=1)
CALL_THREADS = 4
"""Calls at a time. A round makes two, and a peer that does not answer is left alone
for growing pauses, so that a few silent ones don't hold up the others."""
KEPT_CHANNELS = 12
"""Open connections to peers. Partners change slowly, so that a new connection is
rare, and memory stays the same however many peers there are."""

CHANNEL_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # Peers are met by IP number; a proxy from the environment is never meant.
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
    # After a cut the library would wait up to two minutes before it tries again.
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", 500),
    ("grpc.max_reconnect_backoff_ms", 2000),
    ("grpc.use_local_subchannel_pool", 1),
]

Replied = Callable[[ExchangeReply], None]
Failed = Callable[[PeerError], None]


class PeersClient:
    """Calls peers; owned by one task, whose callbacks come from other threads.

    Calls block threads of a small pool. The library's own way of calling without
    blocking starts a thread for each call, which costs half as much again.

    Parameters
    ----------
    timeout : timedelta
        Longest wait for an answer.
    """

    def __init__(self, timeout: timedelta = CALL_TIMEOUT) -> None:
        self.timeout_s = timeout.total_seconds()
        self.channels: OrderedDict[str, grpc.Channel] = OrderedDict()
        self.traffic = Traffic()
        self.pool = ThreadPoolExecutor(CALL_THREADS, "peers-client")

    def exchange(
        self, address: str, request: ExchangeRequest, replied: Replied, failed: Failed
    ) -> None:
        """Start an exchange; one of the callbacks is called when it ends."""
        channel = self._channel(address)
        self.pool.submit(self._run, address, channel, request, replied, failed)

    def close(self) -> None:
        """Close all connections; calls under way fail."""
        for channel in self.channels.values():
            channel.close()
        self.channels.clear()
        self.pool.shutdown(wait=False, cancel_futures=True)

    def _run(
        self,
        address: str,
        channel: grpc.Channel,
        request: ExchangeRequest,
        replied: Replied,
        failed: Failed,
    ) -> None:
        try:
            message = request_to_wire(request)
            self.traffic.add(sent=message.ByteSize())
            call = rpc.PeersStub(channel).Exchange
            answer = call(message, timeout=self.timeout_s)
            self.traffic.add(received=answer.ByteSize())
            reply = reply_from_wire(answer)
        except (grpc.RpcError, ValueError) as error:
            # The library raises ValueError on a channel that was closed meanwhile.
            failed(PeerError(f"{address}: {error}"))
        except PeerError as error:
            failed(error)
        except Exception as error:
            # Unless somebody is told, the peer counts as being called for ever.
            log_event(logger, TASK_FAILED, exc_info=error, task="peers-client")
            failed(PeerError(str(error)))
        else:
            replied(reply)

    def _channel(self, address: str) -> grpc.Channel:
        channel = self.channels.pop(address, None)
        if channel is None:
            channel = grpc.insecure_channel(address, options=CHANNEL_OPTIONS)
        self.channels[address] = channel
        if len(self.channels) > KEPT_CHANNELS:
            _, oldest = self.channels.popitem(last=False)
            oldest.close()
        return channel
