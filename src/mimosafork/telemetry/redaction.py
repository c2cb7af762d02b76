"""Keep secrets and callers' texts out of the logs."""

import re

REDACTED = "[redacted]"

SECRET_FIELDS = frozenset(
    {"api_key", "authorization", "body", "key", "password", "prompt", "secret", "text"}
)
"""Fields whose values are never written, whoever logs them."""

SECRET_PATTERN = re.compile(
    r"(?P<name>\bbearer\s+|\b(?:authorization|(?:x-)?api[-_]key)['\"]?\s*[:=]\s*['\"]?"
    r"(?:bearer\s+)?)(?P<secret>[^\s'\",;]+)",
    re.IGNORECASE,
)


def redact_text(text: str) -> str:
    """Hide credentials in a text, such as a library's error message.

    Parameters
    ----------
    text : str
        A finished line, with its trace.

    Returns
    -------
    str
        The same with each credential replaced.
    """
    return SECRET_PATTERN.sub(rf"\g<name>{REDACTED}", text)
