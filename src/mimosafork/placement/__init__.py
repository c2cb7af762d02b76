"""Where an instance sends each call: the load that it knows, and the choice.

Nothing here does I/O or reads a clock; the time of the call is passed in.
"""
