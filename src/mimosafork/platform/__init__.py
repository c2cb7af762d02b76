"""The prepared platform's names, formats and calls; nothing here decides.

Nothing outside this folder knows the platform's words. docs/GLOSSARY.md maps them to
the field's terms.
"""
