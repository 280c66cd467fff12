"""Command-line programs, which only wrap the library."""
