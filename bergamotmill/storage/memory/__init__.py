"""Key-value store in memory, for tests, benchmarks and stand-ins."""

from bergamotmill.storage.memory import coordinator

MemoryStore = coordinator.MemoryStore
