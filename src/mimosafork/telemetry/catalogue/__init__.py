"""The events and metrics, a module for each range of event numbers.

To add one, write a constant into the module of its range: a new number for each
new event, and a number that was once released is never given another meaning.
`make docs` writes the pages, and a test compares them.
"""
