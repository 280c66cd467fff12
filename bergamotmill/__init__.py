"""A router for language-model traffic in which prompts share long prefixes."""

__version__ = "0.1.0"
