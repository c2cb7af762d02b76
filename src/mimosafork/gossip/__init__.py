"""What entry instances tell each other, in datagrams.

`Exchange` decides and is pure: datagrams and instants go in, datagrams and effects
come out. `Gossip`, in `service`, gives it sockets, a clock, the store's rows and
callbacks.
"""
