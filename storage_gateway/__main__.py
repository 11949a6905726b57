"""Runs one gateway instance: ``python -m storage_gateway``."""

import sys

from storage_gateway.service import main

if __name__ == "__main__":
    sys.exit(main())
