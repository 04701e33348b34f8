"""Entry point of ``python -m damaskdeck.cli``."""

from damaskdeck.cli import main

main()
