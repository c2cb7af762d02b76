"""Request lifecycle and scheduling decisions, without I/O.

`core.Kernel` takes typed messages and the current time and returns typed effects.
Policies are plug-ins (`mimosafork.policies`) that register themselves in `registry`.
"""
