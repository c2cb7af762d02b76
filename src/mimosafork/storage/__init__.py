"""Clients of the platform: table service, object store and instance list.

docs/PLATFORM.md describes the protocols. The clients contain no policy except a circuit
breaker, which keeps callers from waiting for a service that is down, and a byte budget
for reading the instance list.
"""
