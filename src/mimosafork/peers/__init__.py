"""What entry instances tell each other, over gRPC.

Each instance writes versioned entries into its own feeds and passes on what it
hears of the others'. `kinds` is the place to add a kind of entry.
"""
