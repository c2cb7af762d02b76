"""Freeing engines of streams that nobody waits for."""

from ..endpoints.calls import CancelStream, ModelCall, OpenCall
from .messages import Opened
from .ports import RelayPorts


def drop_opened(opened: Opened, ports: RelayPorts) -> None:
    """Do away with a call that went out for an attempt that has been cancelled.

    Its cancellation may have overtaken the call, and then the engine would run it
    for nobody until its deadline: so it is sent again. A stream that may answer
    another call is left alone: that this one was given up says nothing of it.
    """
    opened.sock.close()
    if not opened.job.dispatch.shared:
        cancel_stream(opened.job, ports)


def cancel_stream(job: OpenCall, ports: RelayPorts) -> None:
    """Have an engine end the stream of a call; a plain service has none."""
    if isinstance(job.call, ModelCall):
        dispatch = job.dispatch
        ports.connector.cancel(CancelStream(dispatch.address, dispatch.stream_id))
