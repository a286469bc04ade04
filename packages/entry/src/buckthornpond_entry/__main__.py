"""Entry point of ``python -m buckthornpond_entry``."""

from .cli import main

main()
