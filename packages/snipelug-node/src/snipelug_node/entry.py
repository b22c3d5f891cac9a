"""The program `snipelugd`: picks the interface that its settings name.

A settings file in ``SNIPELUG_CONFIG`` means the platform of the project's users.
Without one, flags and environment variables set up the project's own interface.
Only the picked one is imported, because imports make most of a start's work.
"""

import os

PLATFORM_SETTINGS = "SNIPELUG_CONFIG"


def run() -> None:
    """Run the program."""
    path = os.environ.get(PLATFORM_SETTINGS)
    if path:
        from snipelug_platform import main as platform_main

        platform_main.run(path)
    else:
        from snipelug_node import main

        main.run()


if __name__ == "__main__":
    run()
