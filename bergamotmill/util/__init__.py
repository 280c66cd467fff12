"""General utilities that do not depend on routing code."""
