"""Measures what each thing costs as it grows, and works out the design size.

``python -m tools.slopes`` grows one thing at a time in the real code, fits a line,
prints the table and writes ``docs/capacity/measured.json`` and
``docs/CAPACITY.md``.
"""
