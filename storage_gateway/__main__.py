"""``python -m storage_gateway`` runs one gateway instance."""

import sys

from storage_gateway.service import main

if __name__ == "__main__":
    sys.exit(main())
