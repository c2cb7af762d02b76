"""Clients of the platform: table service, object store and instance list.

docs/PLATFORM.md says what they speak. Nothing here decides; a circuit breaker
alone keeps callers from waiting for a service that is down.
"""
