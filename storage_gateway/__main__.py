"""Runs one gateway instance: ``python -m storage_gateway``."""

import sys

from storage_gateway.lean_imports import exclude_unused_modules


def run() -> int:
    """Run the gateway without the modules that it does not need, and return its exit status."""
    exclude_unused_modules()
    from storage_gateway.service import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
