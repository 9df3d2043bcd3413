"""Run one entry instance."""

import sys

from plantainyard.entry.process import main

if __name__ == "__main__":
    sys.exit(main(sys.argv))
