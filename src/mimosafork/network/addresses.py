"""Addresses of instances and endpoints."""

from ipaddress import ip_address

LARGEST_PORT = 65535


def is_callable_address(address: str) -> bool:
    """Return whether an address is the IP number of one machine, and a port."""
    host, _, port = address.rpartition(":")
    try:
        number = ip_address(host)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdecimal()
    if not is_number or not 0 < int(port) <= LARGEST_PORT:
        return False
    return not (number.is_unspecified or number.is_multicast)
