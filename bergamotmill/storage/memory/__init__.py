"""A key-value store in memory, for tests, benches and the stand-in."""

from bergamotmill.storage.memory import coordinator

MemoryStore = coordinator.MemoryStore
