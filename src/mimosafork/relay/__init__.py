"""Carries answers: one task owns the callers' sockets and the endpoints'.

A CherryPy thread that has read and authenticated a request hands its caller's
socket to `task.RelayTask` and goes back to its pool, so that a stream holds no
thread while it runs.
"""
