"""Case 1: a late extra answer of a rejected request is taken for the rejection of the next one."""

import collections
import os
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins

FOLDER = pathlib.Path(__file__).resolve().parent
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
SERVICE = "xano55b"
CLIENTS = 24
PAUSE_S = 0.08
ENGINES = 5
FAULTY = 3  # garble, extra late: share = 0.6 of the engines,
EXTRA_SHARE = 0.03  # x = 0.03 of their answers,
GARBLE_S = 5.0  # for 5 s,
WINDOWS = 4  # more than once.
CALM_S = 4.0
LOAD_S = CALM_S + WINDOWS * (GARBLE_S + CALM_S)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class FaultyEngine(standins.Engine):
    """An engine that other callers fill for moments, and that sends some answers a second time.

    The extra answer is late: it comes at the point where the next answer on the connection is
    expected. It bears the id of the request that it answers.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.answers = self.extras = 0  # of this window
        self.all_answers = self.all_extras = 0
        self.is_garbling = False
        threading.Thread(target=self._serve_other_callers, daemon=True).start()

    def _serve_other_callers(self):
        """Have all slots and the whole queue taken by other callers for 30 ms, again and again."""
        while not self.closed:
            time.sleep(0.25)
            with self.lock:
                places = self.slots + self.queue - self.taken
                self.taken += places
            time.sleep(0.03)
            with self.lock:
                self.taken -= places

    def garble(self, is_garbling):
        """Begin or end a window."""
        with self.lock:
            self.answers = self.extras = 0
            self.is_garbling = is_garbling

    def handle(self, connection, request, state):
        extra = state.pop("extra", None)
        if extra is not None:
            attempt = request[2].get("x-attempt-id")
            self.record(f"engine {self.id} sends the extra answer of {extra[0]} where {attempt}'s is expected")
            connection.sendall(extra[1])
        answer = self.answer(request)
        connection.sendall(answer)
        with self.lock:
            self.answers += 1
            self.all_answers += 1
            may_send = self.is_garbling and self.extras + 1 <= EXTRA_SHARE * self.answers
            if may_send and b"X-Not-Executed" in answer:
                self.extras += 1
                self.all_extras += 1
                state["extra"] = (request[2].get("x-attempt-id"), answer)


def send_requests(fleet, until, answers):
    client = standins.Client(fleet, HOST)
    while time.monotonic() < until:
        attempt = f"{random.getrandbits(64):016x}"
        headers = {
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "1500",
            "Authorization": f"Token {KEY}",
        }
        fleet.record(f"client sends {attempt}")
        status, answered, _ = client.ask("POST", "/lohu930/2f", headers, b"x" * 600)
        seal = answered.get("x-response-seal", "none")
        fleet.record(f"client gets {status} for {attempt}, seal {seal}")
        answers[attempt] = status
        time.sleep(PAUSE_S * random.uniform(0.5, 1.5))
    client.close()


def play(fleet):
    fleet.start()
    operator = standins.Operator(fleet)
    routes = [standins.route("r-1", HOST, "/lohu930/", SERVICE)]
    if not operator.put(standins.configuration(7, [SERVICE], routes, [("hule930", KEY)])):
        raise standins.CouldNotRun("the configuration was not acknowledged")
    faulty = [FaultyEngine(fleet, number, SERVICE) for number in range(FAULTY)]
    sound = [standins.Engine(fleet, number, SERVICE) for number in range(FAULTY, ENGINES)]
    engines = faulty + sound
    standins.wait_ready(fleet)
    time.sleep(4.0)
    answers = {}
    until = time.monotonic() + LOAD_S
    clients = [
        threading.Thread(target=send_requests, args=(fleet, until, answers)) for _ in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    for _ in range(WINDOWS):
        time.sleep(CALM_S)
        for engine in faulty:
            engine.garble(TROUBLE)
        fleet.record("garble begins" if TROUBLE else "left out: garble")
        time.sleep(GARBLE_S)
        for engine in faulty:
            engine.garble(False)
        fleet.record("garble ends")
    for client in clients:
        client.join()
    time.sleep(1.0)
    for engine in engines:
        engine.close()
    runs = collections.Counter(attempt for engine in engines for attempt, _ in engine.runs)
    twice = [attempt for attempt, count in runs.items() if count > 1]
    denied = [a for a, count in runs.items() if answers.get(a) in (408, 421, 429, 503)]
    fleet.record(
        f"requests {len(answers)}, served {sum(s == 200 for s in answers.values())},"
        f" answers of the faulty engines {sum(engine.all_answers for engine in faulty)},"
        f" extra ones {sum(engine.all_extras for engine in faulty)}"
    )
    for attempt in twice:
        fleet.record(f"TWICE: {attempt} ran {runs[attempt]} times")
    for attempt in denied:
        fleet.record(f"REFUSED: {attempt} ran, and its client got {answers[attempt]}")
    if sum(s == 200 for s in answers.values()) < len(answers) / 2:
        raise standins.CouldNotRun("less than half of the requests were served")
    return bool(twice)


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER / "record.txt", play))
