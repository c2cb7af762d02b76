"""A small caller that streams an answer and comes back when it breaks off."""
