"""A short soak: the process stays within its memory limit beside bad clients, and serves usual ones.

``python -m tests.soak.memory_report`` plays all kinds for longer.
"""

from __future__ import annotations

from tests.soak.memory_report import MemoryCase

SEED = 24
SECONDS = 2.0
CONNECTIONS = 300

# Those that take the most memory, or took it without end before it was limited.
KINDS = ("stopped_body", "connect_with_data", "field_without_end", "chunks_of_1_byte", "trailers")


class MemorySoakTest(MemoryCase):
    """Guards against a process that is ended for its memory while bad clients are connected."""

    async def test_bad_clients_do_not_take_the_process_past_its_limit(self) -> None:
        for memory_mb in (64, 192):
            await self.start_with_limit(memory_mb)
            for kind in KINDS:
                with self.subTest(kind=kind, memory_mb=memory_mb):
                    outcome = await self.play(kind, SECONDS, CONNECTIONS, SEED)
                    assert outcome.is_alive
                    assert outcome.peak_mb <= memory_mb
                    assert outcome.times_s, "no usual request was served"
            await self._end_process()
