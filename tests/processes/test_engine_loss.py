"""Lose engines and plain services while they answer."""

from tests.processes import callers

ENGINES = ("engine-1", "engine-2")
PROMPT = "a long story [tokens=150]"
SHORT = "a short one [tokens=10]"


def _start_engines(deployment, names=ENGINES):
    for name in names:
        deployment.start_engine(name, token_s=0.02)


def test_a_stream_goes_on_at_another_engine_where_the_killed_one_stopped(make_deployment):
    deployment = make_deployment()
    _start_engines(deployment)
    undisturbed = callers.text_of(callers.chat(deployment.address("entry-1"), PROMPT))
    for address in deployment.entry_addresses:
        stream = callers.ChatStream(address, PROMPT).read_tokens(20)
        lost = deployment.running_engine(ENGINES)

        deployment.processes.kill(lost)
        stream.read_all()

        assert stream.tokens == 150
        assert (stream.text, stream.done, stream.ended) == (undisturbed, True, True)
        assert deployment.attempts(stream.request_id) >= 2
        deployment.processes.restart(lost)
        deployment.wait_for_announcement(lost)


def test_a_whole_answer_survives_its_engine(make_deployment, threads):
    deployment = make_deployment(entries=1)
    _start_engines(deployment)
    address = deployment.address("entry-1")
    undisturbed = callers.text_of(callers.chat(address, PROMPT))
    asking = threads.submit(callers.chat, address, PROMPT)
    lost = deployment.wait(lambda: deployment.running_engine(ENGINES), "the running request")

    deployment.processes.kill(lost)

    answer = asking.result()
    assert (answer.status, answer.outcome) == (200, "completed")
    assert callers.text_of(answer) == undisturbed


def test_a_stream_that_no_other_engine_can_go_on_with_is_cut(make_deployment):
    deployment = make_deployment()
    _start_engines(deployment, ["engine-1"])
    undisturbed = callers.text_of(callers.chat(deployment.address("entry-1"), PROMPT))
    streams = [
        callers.ChatStream(address, PROMPT).read_tokens(20)
        for address in deployment.entry_addresses
    ]

    deployment.processes.kill("engine-1")

    for stream in streams:
        stream.read_all()
        assert stream.cut
        assert not stream.done
        assert not stream.ended
        assert undisturbed.startswith(stream.text)
        assert 20 <= stream.tokens < 150


def test_a_plain_service_killed_in_mid_answer_is_not_reported_as_completed(
    make_deployment, threads, new_key
):
    deployment = make_deployment()
    # Two services, so that a second one could be given the call by mistake.
    for name in ("desk-1", "desk-2"):
        deployment.start_service(name, delay_s=1.5)
    key = new_key()
    calling = threads.submit(callers.hold, deployment.address("entry-1"), key)

    def _executing():
        return [name for name in ("desk-1", "desk-2") if key in deployment.executions(name)]

    (lost,) = deployment.wait(_executing, "the call's execution")
    (other,) = {"desk-1", "desk-2"} - {lost}

    deployment.processes.kill(lost)

    answer = calling.result()
    assert (answer.status, answer.outcome) == (502, "may_have_run")
    assert answer.error["code"] == "upstream_failed"
    for address in deployment.entry_addresses:
        again = callers.hold(address, key)
        assert (again.status, again.outcome) == (409, "may_have_run")
    assert callers.hold(deployment.address("entry-2"), new_key()).outcome == "completed"
    assert key not in deployment.executions(other)


def test_a_repeatable_call_is_answered_by_another_service_when_its_own_is_killed(
    make_deployment, threads
):
    deployment = make_deployment(entries=1)
    for name in ("desk-1", "desk-2"):
        deployment.start_service(name, delay_s=1.5)
    calling = threads.submit(callers.search, deployment.address("entry-1"))

    def _executing():
        return [name for name in ("desk-1", "desk-2") if deployment.total(name)]

    (lost,) = deployment.wait(_executing, "the call's execution")
    deployment.processes.kill(lost)

    assert (calling.result().status, calling.result().outcome) == (200, "completed")


def _wait_for_end_of_lease(deployment, name):
    deployment.wait(lambda: name not in deployment.known_upstreams(), "the end of the lease")


def test_a_frozen_engine_gets_no_new_work_after_its_lease(make_deployment):
    deployment = make_deployment()
    _start_engines(deployment)
    undisturbed = callers.text_of(callers.chat(deployment.address("entry-1"), SHORT))
    before = deployment.engine_state("engine-1")["executions"]

    deployment.processes.freeze("engine-1")
    _wait_for_end_of_lease(deployment, "engine-1")

    answers = [callers.chat(address, SHORT) for address in deployment.entry_addresses * 3]
    for answer in answers:
        assert (answer.status, callers.text_of(answer)) == (200, undisturbed)
        assert deployment.attempts(answer.request_id) == 1
    deployment.processes.thaw("engine-1")
    assert deployment.engine_state("engine-1")["executions"] == before


def test_a_request_at_an_engine_that_freezes_is_answered_by_another(make_deployment, threads):
    deployment = make_deployment()
    _start_engines(deployment)
    undisturbed = callers.text_of(callers.chat(deployment.address("entry-1"), PROMPT))
    streams = [
        callers.ChatStream(address, PROMPT).read_tokens(5) for address in deployment.entry_addresses
    ]
    frozen = deployment.running_engine(ENGINES)

    deployment.processes.freeze(frozen)
    # Asked before the lease has ended, so these may be given to the frozen engine too.
    asking = [
        threads.submit(callers.chat, address, PROMPT) for address in deployment.entry_addresses * 2
    ]
    _wait_for_end_of_lease(deployment, frozen)

    for stream in streams:
        stream.read_all()
        assert (stream.text, stream.done, stream.ended) == (undisturbed, True, True)
    for item in asking:
        assert (item.result().status, item.result().outcome) == (200, "completed")
        assert callers.text_of(item.result()) == undisturbed
