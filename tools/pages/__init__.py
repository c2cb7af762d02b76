"""Reference pages that are written from the code."""
