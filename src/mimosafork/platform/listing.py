"""An endpoint's row, translated into the product's listing."""

from datetime import timedelta

from ..ids import AvailabilityZoneId, EndpointId, ServiceId
from ..routing.listing import ListedEndpoint, ListedState
from . import names
from .documents import EndpointDocument, decode
from .errors import DocumentError

STATES = {names.READY: ListedState.READY, names.DRAINING: ListedState.DRAINING}


def decode_endpoint(key: str, value: bytes) -> ListedEndpoint:
    """Read an endpoint's row.

    Parameters
    ----------
    key : str
        The row's key: the endpoint's id, which stands nowhere else.
    value : bytes
        The document as the endpoint wrote it.

    Raises
    ------
    DocumentError
        If it cannot be read or its state is not known.
    """
    document = decode(value, EndpointDocument)
    state = STATES.get(document.state)
    if state is None:
        raise DocumentError(f"endpoint {key} has the state {document.state}")
    return ListedEndpoint(
        endpoint=EndpointId(key),
        service=ServiceId(document.service),
        address=document.address,
        zone=AvailabilityZoneId(document.zone),
        slots=document.slots,
        state=state,
        software=document.software,
        cold_remaining=timedelta(milliseconds=document.cold_remaining_ms),
        sequence=document.sequence,
        born_ms=document.born,
    )
