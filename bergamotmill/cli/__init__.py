"""The programs: thin shells around the library."""
