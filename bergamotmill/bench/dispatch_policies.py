"""Ways to place prompts that an experiment sets side by side."""

from collections.abc import Callable, Collection, Sequence

from bergamotmill.dispatch import daemon
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import upstreams
from bergamotmill.util import registry

POLICIES: registry.Registry[type[placement.Placement]] = registry.Registry(
    "policy"
)
# Prepares a router for a policy; most need nothing.
Prepare = Callable[[daemon.Daemon], None]

POLICIES.register("ours")(placement.Placement)


class _Simple(placement.Placement):
    """Takes the candidate with the least of one measure."""

    def choose_engine(
        self,
        demand: placement.Demand,
        ready: Sequence[upstreams.Upstream],
        model: str,
        known: upstreams.Upstreams,
        exclude: Collection[str],
        now: float,
    ) -> placement.Choice | None:
        """Ranks engines without a look at what they hold."""
        found = super().choose_engine(demand, ready, model, known, exclude, now)
        if found is None:
            return None
        measures = {
            item.upstream.entry.name: self._measure(item, demand, now)
            for item in found.ranked
        }
        ranked = sorted(
            found.ranked, key=lambda item: measures[item.upstream.entry.name]
        )
        return placement.Choice(ranked[0], tuple(ranked))

    def _measure(
        self, item: placement.Candidate, demand: placement.Demand, now: float
    ) -> tuple[float, ...]:
        raise NotImplementedError


@POLICIES.register("least_loaded")
class LeastLoaded(_Simple):
    """The engine with the fewest requests of this router."""

    def _measure(self, item, demand, now):
        del demand, now
        return (item.upstream.in_flight, self._rng.random())


@POLICIES.register("hash_by_prefix")
class HashByPrefix(_Simple):
    """Every prompt goes to the home of its first part."""

    def _measure(self, item, demand, now):
        del now
        prefix = next(iter(demand.prefixes.values()))
        home = placement.prefix_owner(prefix.digests[0], self._names(demand))
        return (item.upstream.entry.name != home, item.upstream.in_flight)

    def _names(self, demand) -> Collection[str]:
        del demand
        return self._ready_names

    def choose_engine(self, demand, ready, model, known, exclude, now):
        """Remembers who is ready, and ranks."""
        self._ready_names = [item.entry.name for item in ready]
        return super().choose_engine(demand, ready, model, known, exclude, now)


@POLICIES.register("held_for_ever")
class HeldForEver(placement.Placement):
    """Ours, as it was before parts aged: what was read is held for ever."""

    def choose_engine(self, demand, ready, model, known, exclude, now):
        """Ranks engines with beliefs that do not age."""
        for item in ready:
            known.set_memory_tokens(item.entry.service, 0)
        return super().choose_engine(demand, ready, model, known, exclude, now)
