"""Placement policies that `bench dispatch` compares."""

from collections.abc import Callable, Collection, Sequence

from bergamotmill.dispatch import daemon
from bergamotmill.dispatch import placement
from bergamotmill.dispatch import upstreams
from bergamotmill.util import registry

POLICIES: registry.Registry[type[placement.Placement]] = registry.Registry(
    "policy"
)
# Sets up a router for a policy; most policies need no setup.
PrepareRouter = Callable[[daemon.Daemon], None]

POLICIES.register("ours")(placement.Placement)


class _RankingPlacement(placement.Placement):
    """Chooses the candidate with the lowest rank key."""

    def choose_engine(
        self,
        demand: placement.Demand,
        ready: Sequence[upstreams.Upstream],
        model: str,
        known: upstreams.Upstreams,
        exclude: Collection[str],
        now: float,
    ) -> placement.Choice | None:
        """Ranks engines without regard to the prefixes that they hold."""
        choice = super().choose_engine(
            demand, ready, model, known, exclude, now
        )
        if choice is None:
            return None
        rank_keys = {
            item.upstream.entry.name: self._rank_key(item, demand, now)
            for item in choice.ranked
        }
        ranked = sorted(
            choice.ranked, key=lambda item: rank_keys[item.upstream.entry.name]
        )
        return placement.Choice(ranked[0], tuple(ranked))

    def _rank_key(
        self, item: placement.Candidate, demand: placement.Demand, now: float
    ) -> tuple[float, ...]:
        raise NotImplementedError


@POLICIES.register("least_loaded")
class LeastLoaded(_RankingPlacement):
    """Chooses the engine with the fewest requests in flight from the router."""

    def _rank_key(self, item, demand, now):
        del demand, now
        return (item.upstream.in_flight, self._rng.random())


@POLICIES.register("hash_by_prefix")
class HashByPrefix(_RankingPlacement):
    """Sends each prompt to the rendezvous owner of its first part."""

    def _rank_key(self, item, demand, now):
        del now
        prefix = next(iter(demand.prefixes.values()))
        owner = placement.prefix_owner(
            prefix.digests[0], self._engine_names(demand)
        )
        return (item.upstream.entry.name != owner, item.upstream.in_flight)

    def _engine_names(self, demand) -> Collection[str]:
        del demand
        return self._ready_names

    def choose_engine(self, demand, ready, model, known, exclude, now):
        """Stores the names of the ready engines for _rank_key, then ranks."""
        self._ready_names = [item.entry.name for item in ready]
        return super().choose_engine(demand, ready, model, known, exclude, now)


@POLICIES.register("held_for_ever")
class NoAgingPlacement(placement.Placement):
    """The default placement, but known prefixes never count as evicted."""

    def choose_engine(self, demand, ready, model, known, exclude, now):
        """Ranks engines; a memory of 0 tokens disables prefix ageing."""
        for item in ready:
            known.set_memory_tokens(item.entry.service, 0)
        return super().choose_engine(demand, ready, model, known, exclude, now)
