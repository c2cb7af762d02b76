"""Translates the header that lists the parts of a prompt."""

import re

ENTRY = re.compile(rb"([0-9a-fA-F]{1,128}):[0-9]{1,15}")
MAX_PARTS = 32
"""Parts of one prompt that are read; further ones are passed through unread."""


def shared_parts(value: bytes | None) -> tuple[str, ...]:
    """Return the ids of the parts that other prompts may share, in order.

    The last part belongs to the prompt itself, or to its session. A list that is not in
    the platform's form has no readable parts; it is passed on unchanged all the same.

    Parameters
    ----------
    value : bytes or None
        As received; None without the header.
    """
    if not value:
        return ()
    found: dict[str, None] = {}
    entries = value.split(b",")
    for entry in entries[:-1][:MAX_PARTS]:
        match = ENTRY.fullmatch(entry.strip())
        if match is None:
            return ()
        found[match[1].decode("ascii").lower()] = None
    if ENTRY.fullmatch(entries[-1].strip()) is None:
        return ()
    return tuple(found)
