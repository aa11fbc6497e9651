"""Command line: one module for each command."""
