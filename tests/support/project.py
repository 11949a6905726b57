"""Where the project's files are."""

from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
