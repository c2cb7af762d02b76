"""An endpoint's row, translated into the product's listing."""

from ..ids import AvailabilityZoneId, EndpointId, ServiceId
from ..network.addresses import is_callable_address
from ..routing.listing import ListedEndpoint, ListedState
from . import names
from .documents import LONGEST_TEXT, EndpointDocument, decode, duration
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
        If it cannot be read, its state is not known, or it could not be called.
    """
    check_key(key)
    document = decode(value, EndpointDocument)
    state = STATES.get(document.state)
    if state is None:
        raise DocumentError(f"the state is {document.state!a:.80}")
    check_address(document.address)
    for text in (document.service, document.zone, document.software):
        if not text.isprintable() or text != text.strip():
            raise DocumentError(f"a name is {text!a:.80}")
    return ListedEndpoint(
        endpoint=EndpointId(key),
        service=ServiceId(document.service),
        address=document.address,
        zone=AvailabilityZoneId(document.zone),
        slots=document.slots,
        state=state,
        software=document.software,
        cold_remaining=duration(document.cold_remaining_ms),
        sequence=document.sequence,
        started_ms=document.born,
    )


def check_key(key: str) -> None:
    """Check that a key can be an endpoint's id.

    Guard: calls carry the id in a header. A line end in it would begin another one,
    and what is no ASCII could not be sent at all.

    Raises
    ------
    DocumentError
        If it has other than visible characters of ASCII, or too many.
    """
    visible = key.isascii() and key.isprintable() and " " not in key
    if not (visible and 0 < len(key) <= LONGEST_TEXT):
        raise DocumentError("the key is no endpoint's id")


def check_address(address: str) -> None:
    """Check that an address is the IP number of one machine, and a port.

    Guard: a call to anything else fails after it was placed, and draws on the budget of
    repeats; a name would be looked up while all calls wait.

    Raises
    ------
    DocumentError
        If it is not.
    """
    if not is_callable_address(address):
        raise DocumentError(f"the address is {address!a:.80}")
