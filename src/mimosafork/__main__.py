"""Entry point of ``python -m mimosafork``."""

from .cli.main import main

main()
