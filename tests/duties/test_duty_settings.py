"""Validation of the duties settings."""

import pytest

from medlarfork import errors
from medlarfork.duties import duty_types


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"duties": ("usage", "invoices")}, "invoices"),
        ({"lease_s": 0.0}, "lease_s"),
        ({"calls_per_s": -1.0}, "calls_per_s"),
        ({"usage_window_s": 0.0}, "usage_window_s"),
        ({"engine_margin": 0.5}, "engine_margin"),
        ({"address": "", "duties": ("usage",)}, "address"),
    ],
)
def test_invalid_settings_are_rejected_by_name(changes, named):
    values = {"address": "10.0.0.1:80", "duties": ("usage",)} | changes
    with pytest.raises(errors.SettingsError, match=named):
        duty_types.DutySettings(**values)


def test_a_deployment_without_duties_needs_no_settings():
    assert duty_types.DutySettings().is_empty
