"""Entry point of `snipelugd`; selects the interface that the settings ask for.

If ``SNIPELUG_CONFIG`` names a settings file, the platform's interface is used.
Otherwise flags and environment variables configure the built-in interface. Only the
selected one is imported, because imports take most of the start-up time.
"""

import os
import signal

PLATFORM_SETTINGS = "SNIPELUG_CONFIG"


def run() -> None:
    """Run snipelugd until it stops."""
    path = os.environ.get(PLATFORM_SETTINGS)
    if path:
        # A reload during the imports would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from snipelug_platform import main as platform_main

        platform_main.run(path)
    else:
        from snipelug_node import main

        main.run()


if __name__ == "__main__":
    run()
