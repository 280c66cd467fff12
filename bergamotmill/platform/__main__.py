"""Runs one router on the platform."""

import os
import signal
import sys


def main() -> int:
    """Runs the router until the platform stops the process."""
    # The platform sends SIGHUP when the settings change, possibly during the
    # imports below, when its default action would end the process. Ignoring
    # the signal loses no change: the settings file is read after the imports
    # and checked regularly from then on.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from bergamotmill.cli import dispatcher
    from bergamotmill.platform import const
    from bergamotmill.platform import dialect

    path = os.environ.get(const.SETTINGS_PATH_VARIABLE, "")
    if not path:
        print(f"{const.SETTINGS_PATH_VARIABLE} is not set", file=sys.stderr)
        return dispatcher.EXIT_INVALID_SETTINGS
    return dispatcher.run(path, dialect.make_dialect, dialect.make_store)


if __name__ == "__main__":
    sys.exit(main())
