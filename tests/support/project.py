"""The root folder of the project."""

from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
