"""Request path of the gateway: client connections, endpoint connections, the kernel.

Everything here runs in one event loop. Each connection owns its socket and its
parser. The kernel makes all decisions and returns them as effects.
"""
