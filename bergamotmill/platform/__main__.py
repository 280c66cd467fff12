"""Runs one router on the platform."""

import os
import sys

from bergamotmill.cli import dispatcher
from bergamotmill.platform import const
from bergamotmill.platform import dialect


def main() -> int:
    """Runs until the platform stops the process."""
    path = os.environ.get(const.SETTINGS_VARIABLE, "")
    if not path:
        print(f"{const.SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return dispatcher.EXIT_SETTINGS
    return dispatcher.run(path, dialect.make, dialect.make_store)


if __name__ == "__main__":
    sys.exit(main())
