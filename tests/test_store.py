"""Errors, refusals, late answers and lost answers of the state service."""

from typing import Any

from test_failure_regressions import new_context, started_world
from world import World, spec

from runcourse.core import types as t
from runcourse.core.ids import Instant
from runcourse.core.store import MAX_TRIES, CommitResult, Store
from runcourse.core.stored_values import ROOT
from runcourse.core.types import Write


def store_with(*changes: tuple[str, Any, int], epoch: int = 1) -> Store:
    """Returns a store that has read these pairs (key, value, stamp) at this epoch."""
    store = Store(new_context())
    store.sync()
    answer(store, 200, (list(changes), epoch))
    return store


def answer(store: Store, status: int, body: Any = None, sent: bool = True) -> Any:
    """Answers the store's oldest request and returns that request."""
    effect = store.context.effects.pop(0)
    effect.tag(t.Outcome(effect.tag, status, body, sent, store.context.now))
    return effect


def advance(store: Store, seconds: float) -> None:
    """Advances the store's clock and calls its tick."""
    store.context.now = Instant(store.context.now + seconds)
    store.tick()


def test_revision_too_old_reads_everything_and_drops_missing_keys() -> None:
    store = store_with((ROOT + "a", 1, 3), (ROOT + "b", 2, 4), epoch=4)
    advance(store, 1.0)
    assert isinstance(answer(store, 410), t.Follow)
    assert not store.ready
    advance(store, 1.0)
    assert isinstance(answer(store, 200, ([(ROOT + "b", 5, 9)], 9)), t.ReadAll)
    assert store.get(ROOT + "a") is None and store.get(ROOT + "b") == 5


def test_refused_write_is_retried_after_a_pause() -> None:
    """A write answered with 429 was not executed, so it is retried instead of failing the user's
    request at once."""
    store = store_with()
    results: list[str] = []
    store.commit([], [Write("k", 1)], lambda r, s: results.append(r))
    for _ in range(MAX_TRIES - 1):
        answer(store, 429)
        assert not results and not store.context.effects, (
            "the service asked for a pause before the next request"
        )
        advance(store, 0.15)
        store.context.effects = [e for e in store.context.effects if isinstance(e, t.Commit)]
        assert len(store.context.effects) == 1
    answer(store, 200, 7)
    assert results == [CommitResult.OK] and store.get("k") == 1 and store.stamp("k") == 7
    store.commit([], [Write("k", 2)], lambda r, s: results.append(r))
    for _ in range(MAX_TRIES):
        advance(store, 0.15)
        store.context.effects = [e for e in store.context.effects if isinstance(e, t.Commit)]
        answer(store, 429)
    assert results == [CommitResult.OK, CommitResult.REFUSED], (
        "refused after the last try instead of retried for ever"
    )


def test_outcome_of_an_unanswered_write_is_read_from_the_service() -> None:
    store = store_with()
    results: list[str] = []
    advance(store, 1.0)
    answer(store, 200, ([], 1))
    store.context.now = Instant(store.context.now + 0.1)
    store.commit([], [Write("rc/k", 1)], lambda r, s: results.append(r))
    answer(store, 0)
    assert results == [CommitResult.UNKNOWN] and store.get("rc/k") is None
    advance(store, 0.2)
    assert isinstance(answer(store, 200, ([("rc/k", 1, 8)], 8)), t.Follow)
    assert store.get("rc/k") == 1


def test_older_read_does_not_undo_a_newer_write() -> None:
    store = store_with()
    store.commit([], [Write("k", "new")], lambda r, s: None)
    answer(store, 200, 9)
    advance(store, 1.0)
    answer(store, 200, ([("k", "old", 5)], 5))
    assert store.get("k") == "new"


def test_node_whose_lease_ended_begins_a_new_incarnation() -> None:
    world = started_world()
    world.submit(spec("j-000001", service=True, tasks=1))
    world.until(lambda: len(world.on_machines()) == 1, 10)
    node = world.nodes["n0"]
    assert node is not None
    before = node.authority.incarnation
    world.state.leases.pop(node.authority.lease or 0)
    for key in [k for k, (_, _, g) in world.state.data.items() if g == node.authority.lease]:
        world.state.epoch += 1
        del world.state.data[key]
        world.state.log.append((key, None, world.state.epoch))
    world.run(6.0)
    assert node.authority.live and node.authority.incarnation != before
    assert len(world.on_machines()) == 1 and len(world.starts) == 1 and not world.violations


def test_lost_answers_of_executed_writes_lose_no_job() -> None:
    world = World(seed=3)
    world.run(4.0)
    world.loss_rate = 0.4
    statuses = {
        f"j-{n:06d}": world.submit(spec(f"j-{n:06d}", tasks=1), f"n{n % 3}") for n in range(8)
    }
    world.loss_rate = 0.0
    world.deliver_held()
    world.run(20.0)
    assert any(status in (200, 201) for status in statuses.values())
    for uid, status in statuses.items():
        if status in (200, 201):
            world.until(lambda uid=uid: world.poll(uid) == "done", 30)  # type: ignore[misc]
    assert not world.violations


def test_late_answer_does_not_restore_a_dropped_key() -> None:
    """A late answer to a write must not restore a key that was dropped since. The stamp of a
    dropped key is forgotten once no read can bring the key back; otherwise the stamps would grow
    for ever."""
    store = store_with()
    store.commit([], [Write(ROOT + "k", 1)], lambda r, s: None)
    commit = store.context.effects.pop(0)
    advance(store, 1.0)
    answer(store, 200, ([(ROOT + "k", 1, 10), (ROOT + "k", None, 12)], 12))
    assert store.get(ROOT + "k") is None and not store.stamps
    commit.tag(t.Outcome(commit.tag, 200, 10, began=store.context.now))
    assert store.get(ROOT + "k") is None


def test_no_write_is_sent_during_an_outage_and_waiting_users_are_refused() -> None:
    """Retries in an outage raised each node's write rate, so that all writes arrived at once when
    the outage ended."""
    store = store_with()
    results: dict[str, str] = {}
    write_rate = store._write_budget.rate
    store.failing = True
    store.commit([], [Write("own", 1)], lambda r, s: results.update(own=r))
    store.commit(
        [],
        [Write("user", 1)],
        lambda r, s: results.update(user=r),
        Store.USER,
        Instant(store.context.now + 60.0),
    )
    store.last_contact = store.context.now
    for _ in range(20):
        advance(store, 0.1)
        for effect in list(store.context.effects):
            assert isinstance(effect, t.Follow)
            answer(store, 503)
    assert results == {"user": CommitResult.REFUSED} and store._write_budget.rate == write_rate
    advance(store, 0.3)
    answer(store, 200, ([], 1))
    advance(store, 0.05)
    sent = [e for e in store.context.effects if isinstance(e, t.Commit)]
    assert [e.then[0][0] for e in sent] == ["own"]
