"""Check that the pages name every code, metric and key, and that their links lead somewhere."""

import dataclasses
import pathlib
import re

import pytest

from medlarfork import errors, request, upstream
from medlarfork.control import _control_metrics, control_settings
from medlarfork.declared import configuration, configuration_file
from medlarfork.entry import entry_settings, entry_types, telemetry
from medlarfork.operator import _ctl_types
from medlarfork.standin import standin_engine, standin_service

_ROOT = pathlib.Path(__file__).parent.parent
_DOCS = _ROOT / "docs"
_OPERATORS = _DOCS / "operators"
_PAGES = sorted((*_DOCS.rglob("*.md"), _ROOT / "README.md"))
_LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
_FENCED = re.compile(r"^```.*?^```$", re.MULTILINE | re.DOTALL)
_HEADING = re.compile(r"^#+ (.+)$", re.MULTILINE)

_SETTINGS_BY_SECTION = {
    "Settings of `medlar-control`": (
        control_settings.ControlSettings,
        control_settings.ReplicaAddress,
        control_settings.Operator,
    ),
    "Settings of `medlar-entry`": (entry_settings.EntrySettings,),
    "Settings of `medlarctl`": (_ctl_types.CtlSettings,),
    "Settings of the stand-ins": (standin_engine.EngineSettings, standin_service.ServiceSettings),
}

_DECLARED_BY_SECTION = {
    "`[deployment]`": (configuration_file._Deployment,),
    "`[[account]]`: a client account": (configuration.Account, configuration.AccountLimits),
    "`[[class]]`: a request class": (configuration.RequestClass,),
    "`[[service]]`: a service": (configuration.Service,),
    "`[[route]]`: requests to another service": (configuration.Route,),
    "`[[call]]`: calls of a plain service": (configuration.Call,),
    "`[[label]]`: labels that callers and upstreams may carry": (configuration.LabelKey,),
}


def _section(page: pathlib.Path, heading: str) -> str:
    """Return the text below a heading, up to the next one."""
    text = _FENCED.sub("", page.read_text())
    found = re.search(rf"^#+ {re.escape(heading)}\n(.*?)(?=^#|\Z)", text, re.MULTILINE | re.DOTALL)
    assert found, f"{page.name} has no heading {heading!r}"
    return found[1]


def _rows(text: str) -> set[str]:
    """Return what stands in code in the first cell of each table row."""
    firsts = re.findall(r"^\| ([^|]+) \|", text, re.MULTILINE)
    return {name for first in firsts for name in re.findall(r"`([^`]+)`", first)}


def _fields(kinds: tuple[type, ...]) -> set[str]:
    return {field.name for kind in kinds for field in dataclasses.fields(kind)}


def _metric_names() -> set[str]:
    """Return the names of an entry host's metrics as they are rendered."""
    metrics = telemetry.Telemetry()
    for gauge in telemetry.Gauge:
        metrics.observe(gauge, lambda: [telemetry.GaugeValue(1.0)])
    metrics.start()
    wasted = entry_types.WastedTokens("retry", 1)
    metrics.record(_record(wasted))
    text = metrics.render().decode()
    metrics.close()
    return set(re.findall(r"^# TYPE (\S+)", text, re.MULTILINE))


def _record(wasted: entry_types.WastedTokens) -> entry_types.Record:
    return entry_types.Record(
        request_id="1",
        account="a",
        class_name="c",
        service="s",
        outcome=request.Outcome.COMPLETED,
        status=200,
        code="",
        queued_s=0.1,
        first_token_s=0.1,
        whole_s=0.2,
        in_target=True,
        tokens=3,
        attempts=1,
        revision=1,
        wasted=(wasted,),
    )


def _anchors(page: pathlib.Path) -> set[str]:
    headings = _HEADING.findall(_FENCED.sub("", page.read_text()))
    return {re.sub(r"[^\w\- ]", "", item.lower()).replace(" ", "-") for item in headings}


def test_every_code_has_a_row():
    assert {code.value for code in errors.Code} <= _rows((_OPERATORS / "ERRORS.md").read_text())


def test_every_exit_status_of_medlarctl_has_a_row():
    text = _section(_OPERATORS / "ERRORS.md", "Exit statuses")
    for status in _ctl_types.ExitStatus:
        assert f"| {status.value} | {status.meaning[0].upper()}{status.meaning[1:]}." in text


def test_every_metric_has_a_row():
    names = _metric_names()
    assert len(names) == 7 + len(telemetry.Gauge)
    assert names | set(_control_metrics._VALUE_BY_NAME) <= _rows(
        _section(_OPERATORS / "OPERATE.md", "Metrics")
    )


@pytest.mark.parametrize("heading", _SETTINGS_BY_SECTION)
def test_every_settings_key_has_a_row(heading: str):
    rows = _rows(_section(_OPERATORS / "INSTALL.md", heading))
    assert rows >= _fields(_SETTINGS_BY_SECTION[heading])


@pytest.mark.parametrize("heading", _DECLARED_BY_SECTION)
def test_every_declared_key_has_a_row(heading: str):
    rows = _rows(_section(_OPERATORS / "CONFIGURE.md", heading))
    assert rows == _fields(_DECLARED_BY_SECTION[heading])


def test_every_table_of_the_configuration_has_a_heading():
    fields = dataclasses.fields(configuration_file._File)
    tables = {field.metadata.get("key", field.name) for field in fields}
    assert tables == {re.search(r"\w+", heading)[0] for heading in _DECLARED_BY_SECTION}


def test_every_key_of_announcements_has_a_row():
    rows = _rows(_section(_DOCS / "UPSTREAMS.md", "Announce"))
    assert rows >= _fields((upstream.Announcement, upstream.AnnouncementReply))


def test_every_outcome_has_a_row():
    rows = _rows(_section(_DOCS / "CALLERS.md", "Outcomes"))
    assert rows == {outcome.value for outcome in request.Outcome}


@pytest.mark.parametrize("page", _PAGES, ids=lambda page: str(page.relative_to(_ROOT)))
def test_links_resolve(page: pathlib.Path):
    for target in _LINK.findall(_FENCED.sub("", page.read_text())):
        if "://" in target:
            continue
        path, _, anchor = target.partition("#")
        linked = (page.parent / path).resolve() if path else page
        assert linked.exists(), f"{target} leads nowhere"
        assert not anchor or anchor in _anchors(linked), f"{target} names no heading"


def test_the_readme_lists_every_page():
    targets = _LINK.findall((_ROOT / "README.md").read_text())
    listed = {(_ROOT / target).resolve() for target in targets}
    top_level = {page for page in _PAGES if "design" not in page.parts}
    assert top_level - {_ROOT / "README.md"} <= listed
