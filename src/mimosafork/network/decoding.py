"""Decoding of JSON documents that others wrote."""

import re
from typing import TypeVar

import msgspec

T = TypeVar("T")

UNDECODABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""Errors of decoding: the library reports invalid text and deep nesting as built-in
errors."""

MAX_DEPTH = 64
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*(?:"|\\?\Z)|[\[\]{}]', re.DOTALL)
OPENING = frozenset(b"[{")
QUOTE = ord('"')


def decode_document(document: bytes, kind: type[T]) -> T:
    """Decode a document, of which a part may be nested too deeply.

    Raises
    ------
    one of UNDECODABLE
    """
    try:
        return msgspec.json.decode(document, type=kind)
    except RecursionError:
        return msgspec.json.decode(without_deep_values(document), type=kind)


def without_deep_values(document: bytes) -> bytes:
    """Return a document with null in place of values nested deeper than MAX_DEPTH.

    One such value makes the decoder reject the whole document.
    """
    parts: list[bytes] = []
    depth = kept_until = 0
    for match in TOKEN.finditer(document):
        first = document[match.start()]
        if first == QUOTE:
            continue
        if first in OPENING:
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += (document[kept_until : match.start()], b"null")
            continue
        depth -= 1
        if depth == MAX_DEPTH:
            kept_until = match.end()
    if depth <= MAX_DEPTH:
        parts.append(document[kept_until:])
    return b"".join(parts)
