"""The way of opaque calls: callers' connections, endpoints' connections, the kernel.

Everything here runs in one event loop. Each connection owns its socket and its
parser; the kernel alone decides, and what it decides arrives as effects.
"""
