"""Types of values in INI files: durations, addresses, lists."""

import re
from datetime import timedelta
from ipaddress import ip_address
from typing import Annotated, Any, NamedTuple

from pydantic import BeforeValidator

UNITS = {
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "min": timedelta(minutes=1),
    "h": timedelta(hours=1),
}
DURATION = re.compile(r"(\d+(?:\.\d+)?)\s*(ms|s|min|h)")
HIGHEST_PORT = 65535


class HostPort(NamedTuple):
    """The two parts of an address."""

    host: str
    port: int


def parse_duration(value: Any) -> Any:
    """Convert a number with a unit, such as ``250ms``, ``2s``, ``5min``, ``1h``.

    Raises
    ------
    ValueError
        If the number or its unit is missing.
    """
    if not isinstance(value, str):
        return value
    match = DURATION.fullmatch(value.strip())
    if match is None:
        units = ", ".join(UNITS)
        raise ValueError(f"{value!r} is no duration; write a number and one of {units}")
    return float(match[1]) * UNITS[match[2]]


def format_duration(value: timedelta) -> str:
    """Return the one way of writing a duration: in the largest whole unit."""
    for unit in reversed(UNITS):
        if value % UNITS[unit] == timedelta(0) and value:
            return f"{value // UNITS[unit]}{unit}"
    if not value:
        return "0s"
    return f"{value / UNITS['ms']:.3f}".rstrip("0") + "ms"


def split_address(address: str) -> HostPort:
    """Split ``IP:PORT`` or ``[IPv6]:PORT``.

    Raises
    ------
    ValueError
        If it is no IP number with a port.
    """
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ip_address(host)
    except ValueError:
        raise ValueError(f"{address!r} is no address; write IP:PORT") from None
    if not port.isdecimal() or int(port) > HIGHEST_PORT:
        raise ValueError(f"{address!r} has no port from 0 to {HIGHEST_PORT}")
    return HostPort(host, int(port))


def _checked_address(value: Any) -> Any:
    if isinstance(value, str):
        value = value.strip()
        split_address(value)
    return value


def split_list(value: str) -> tuple[str, ...]:
    """Split at commas or line ends; an empty value is an empty list."""
    parts = (part.strip() for part in re.split(r"[,\n]", value))
    return tuple(part for part in parts if part)


def _split_text(value: Any) -> Any:
    return split_list(value) if isinstance(value, str) else value


Duration = Annotated[timedelta, BeforeValidator(parse_duration)]
Address = Annotated[str, BeforeValidator(_checked_address)]
"""``IP:PORT``; the project's processes use no names."""
NameList = Annotated[tuple[str, ...], BeforeValidator(_split_text)]
