import pytest

from medlarfork.placement import step_window


@pytest.fixture
def window():
    window = step_window.StepWindow()
    window.configure(event_tokens=4, step_ms=5.0, chunk_ms=100.0)
    return window


def test_consecutive_prompts_fall_into_one_event(window):
    """Prompts of 110 ms, each arriving as the one before ends: an event took 336 ms of 300."""
    now = 0.0
    predicted = []
    for _ in range(5):
        predicted.append(window.concurrent_prefill_ms(now) + 95.0)
        window.add(95.0, now)
        now += 0.1
    assert predicted == pytest.approx([95.0, 190.0, 285.0, 380.0, 380.0], abs=1.0)


def test_steps_without_prefill_start_a_new_event(window):
    window.add(95.0, 0.0)
    assert window.concurrent_prefill_ms(0.100) == pytest.approx(95.0)
    assert window.concurrent_prefill_ms(0.111) == pytest.approx(95.0)
    assert window.concurrent_prefill_ms(0.117) == 0.0


def test_prompts_that_arrive_during_a_step_are_prefilled_together(window):
    window.add(95.0, 0.0)
    for _ in range(3):
        window.add(15.0, 0.01)
    assert window.concurrent_prefill_ms(0.02) == pytest.approx(140.0)
    window.add(95.0, 0.14)
    assert window.concurrent_prefill_ms(0.14) == pytest.approx(95.0 + 45.0 + 95.0)


def test_a_prompt_beyond_a_chunk_takes_several_steps(window):
    window.add(350.0, 0.0)
    assert window.concurrent_prefill_ms(0.0) == pytest.approx(350.0)
    assert window.concurrent_prefill_ms(0.37) == pytest.approx(250.0)


def test_events_of_one_token_hold_one_step(window):
    window.configure(event_tokens=1, step_ms=20.0, chunk_ms=100.0)
    window.add(95.0, 0.0)
    assert window.concurrent_prefill_ms(0.12) == 0.0
