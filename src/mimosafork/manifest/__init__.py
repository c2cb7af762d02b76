"""The fleet's manifest: what operators review, and what a revision of it means."""
