import itertools

from medlarfork.coordination import upstream_types, upstream_view


def _whole(*present, left=()):
    return upstream_types.ViewChange(present, left=left, is_whole=True)


def test_an_upstream_is_usable_while_one_replica_lists_it(make_announcement):
    view = upstream_view.UpstreamView()
    view.apply("a", _whole(make_announcement()))
    view.apply("b", _whole())
    assert set(view.by_id) == {"u-1"}
    view.apply("a", upstream_types.ViewChange(silent=("u-1",)))
    assert view.by_id == {}


def test_a_leave_that_one_replica_saw_counts_for_all(make_announcement):
    view = upstream_view.UpstreamView()
    view.apply("a", _whole(make_announcement()))
    view.apply("b", _whole(make_announcement()))
    assert view.apply("b", upstream_types.ViewChange(left=("u-1",))) == ("u-1",)
    view.apply("a", _whole(make_announcement(sequence=7)))
    assert view.by_id == {}


def test_a_removed_replica_takes_its_upstreams_along_unless_it_was_the_only_one(make_announcement):
    view = upstream_view.UpstreamView()
    view.apply("a", _whole(make_announcement()))
    assert view.remove_replica("a") == ()
    assert set(view.by_id) == {"u-1"}
    view.apply("b", _whole())
    assert view.remove_replica("a") == ("u-1",)


def test_of_two_starts_of_an_upstream_the_later_one_counts(make_announcement):
    view = upstream_view.UpstreamView()
    older = make_announcement("u-1@1", name="u-1", born_ms=1)
    newer = make_announcement("u-1@2", name="u-1", born_ms=2, address="10.0.0.2:80")
    elsewhere = make_announcement("u-2@3", name="u-2", born_ms=3)
    view.apply("r1", upstream_types.ViewChange((older,)))
    view.apply("r2", upstream_types.ViewChange((newer,)))
    assert set(view.by_id) == {"u-1@2"}
    view.apply("r2", upstream_types.ViewChange((elsewhere,)))
    assert set(view.by_id) == {"u-1@2", "u-2@3"}
    view.apply("r1", upstream_types.ViewChange((older,), is_whole=True))
    assert set(view.by_id) == {"u-1@2", "u-2@3"}


def test_a_change_that_another_replica_reported_before_keeps_the_view(make_announcement):
    view = upstream_view.UpstreamView()
    view.apply("a", _whole(make_announcement()))
    before = view.by_id
    view.apply("b", upstream_types.ViewChange((make_announcement(),)))
    view.apply("c", _whole(make_announcement()))
    view.apply("c", upstream_types.ViewChange(left=("u-9",)))
    assert view.by_id is before
    view.apply("a", upstream_types.ViewChange(silent=("u-1",)))
    assert set(view.by_id) == {"u-1"}
    for replica_id in "bc":
        view.apply(replica_id, upstream_types.ViewChange(silent=("u-1",)))
    assert view.by_id == {}


# Guards against: an upstream that was used with the slots and address of an older announcement,
# since the view took that of the replica that had been heard last for the first time.
def test_the_latest_announcement_counts_whichever_replica_lags(make_announcement):
    older = make_announcement(sequence=4, slots=2)
    newer = make_announcement(sequence=5, slots=8)
    for changes in itertools.permutations([("a", older), ("b", newer), ("c", older)]):
        view = upstream_view.UpstreamView()
        for replica_id, announcement in changes:
            view.apply(replica_id, _whole(announcement))
        assert view.by_id == {"u-1": newer}
