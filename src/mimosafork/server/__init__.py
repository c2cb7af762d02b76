"""The HTTP server towards callers and operators."""
