"""The runner passes events in order and keeps the node's requested wake times."""

import curio

from medlarfork import node, runner


class _Recorder:
    """A node that records events and returns scripted actions."""

    def __init__(self, actions_by_event):
        self.events = []
        self._actions_by_event = actions_by_event

    def handle(self, event, now):
        self.events.append(event)
        return self._actions_by_event.get(event, lambda now: ())(now)


def test_actions_are_performed_in_order():
    performed = []
    recorder = _Recorder({"go": lambda now: ("a", "b")})

    async def perform(action):
        performed.append(action)

    async def main():
        driver = runner.Runner(recorder, perform=perform)
        await driver.start()
        await driver.post("go")
        await driver.close()

    curio.run(main)
    assert performed == ["a", "b"]
    assert recorder.events == [node.Started(), "go"]


def test_an_earlier_wake_cuts_a_longer_sleep_short():
    due = curio.Event()
    recorder = _Recorder(
        {
            node.Started(): lambda now: (node.Wake(now + 3600),),
            "sooner": lambda now: (node.Wake(now + 0.01),),
            node.TimeDue(): lambda now: ("due",),
        }
    )

    async def perform(action):
        await due.set()

    async def main():
        driver = runner.Runner(recorder, perform=perform)
        await driver.start()
        await curio.sleep(0)
        await driver.post("sooner")
        await curio.timeout_after(30, due.wait)
        await driver.close()

    curio.run(main)
    assert recorder.events[-1] == node.TimeDue()
