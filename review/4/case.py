"""Machines of the core are replaced two at a time, one pair after the other."""

import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent))

import small_fleet as sf  # noqa: E402

JOINED_S = 10.0
REPLACED_AFTER_S = 2.0
CATCH_UP_S = 6.0
MARGIN_S = 1.0
ROUNDS = 5
ORDER_S = 10.0
READ_S = 10.0


def play(fleet, record):
    fleet.start_all()
    for number in range(3):
        sf.Engine(fleet, number, "desk")
    routes = [sf.route("r-hold", "/hold/", "desk")]
    version = 7
    if fleet.put(sf.configuration(version, routes)).status != 200:
        return sf.NOT_RUN
    time.sleep(JOINED_S)
    next_number = len(fleet.core) + 1
    acknowledged = version
    sent_by_version = {version: sf.configuration(version, routes)}
    for number in range(ROUNDS):
        if sf.has_trouble():
            lost = fleet.core[:2]
            fleet.core = fleet.core[2:]
            fleet.kill(*lost)
            time.sleep(REPLACED_AFTER_S)
            seeds = fleet.core[:3]
            for _ in lost:
                new = f"{fleet.prefix}.1.{next_number}"
                next_number += 1
                fleet.core.append(new)
                fleet.start(new, bootstrap=False, seeds=seeds)
        # The next pair goes only once the successors have had the time to catch up.
        time.sleep(CATCH_UP_S + MARGIN_S)
        version += 2
        sent_by_version[version] = sf.configuration(version, routes)
        order = fleet.put(sent_by_version[version], within_s=ORDER_S)
        record("round", number=number + 1, version=version, status=order.status)
        if order.status != 200:
            break
        acknowledged = version
    # The rule: it comes, is not older than the newest acknowledged version, and is what was sent.
    read = fleet.order("GET", "/config/get", within_s=READ_S)
    found = json.loads(read.body) if read.status == 200 else {"Version": 0}
    holds = found["Version"] >= acknowledged and found == sent_by_version.get(found["Version"])
    traffic = sf.Traffic(fleet, {"/hold/1": 1}, per_s=10.0)
    traffic.run(3.0)
    record(
        "seen",
        order=order.status,
        read=read.status,
        acknowledged=acknowledged,
        found=found["Version"],
        core_running=sum(not fleet.has_ended(host) for host in fleet.core),
        members=members(fleet),
        sent=traffic.sent,
        served=traffic.served,
    )
    return sf.HELD if holds else sf.BROKEN


def members(fleet):
    """Return the last voters that a log names, and how many of them are gone: for the record."""
    lines = [line for host in fleet.core for line in fleet.log(host).splitlines()]
    last, names = 0, []
    for line in lines:
        fields = dict(part.split("=", 1) for part in line.split() if "=" in part)
        if fields.get("event") == "members_changed" and int(fields["index"]) >= last:
            last, names = int(fields["index"]), fields["voters"].split(",")
    return f"{len(names)} voters, {sum(name not in fleet.core for name in names)} of them gone"


sf.main(RECORD, play, core=9, fronts=2, machines=2)
