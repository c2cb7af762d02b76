"""What is accepted as an HTTP response."""

VALID_STATUSES = range(100, 600)
"""Other numbers of three digits have no meaning; a peer in trouble may send them."""

INTERIM_STATUSES = range(100, 200)
"""A final response follows."""

MAX_INTERIM_RESPONSES = 16
"""Limit on interim responses before the final one; an endpoint sends one or two."""

MAX_NON_BODY_BYTES = 64 * 1024
"""Limit on consecutive bytes outside a body: interim responses, the response head,
trailers and chunk extensions. Real responses have a few hundred such bytes."""
