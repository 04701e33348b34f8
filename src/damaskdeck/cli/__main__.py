"""Lets the command line be run as a module."""

from damaskdeck.cli import main

main()
