"""Draw the policy's measurement."""

from __future__ import annotations

import pathlib
from typing import Any

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402 - after the backend has been chosen

_POLICIES = ("naive", "B strict tiers", "current")
_SHADES = ("#bbbbbb", "#7799cc", "#224488")


def attainment(results: list[dict[str, Any]], path: pathlib.Path) -> None:
    """Draw, for each case and class, the share of what an idle engine would attain."""
    cases = list(dict.fromkeys(row["case"] for row in results))
    figure, all_axes = plt.subplots(1, len(cases), figsize=(3.2 * len(cases), 3.2), sharey=True)
    for axes, case in zip(all_axes, cases, strict=True):
        _draw_case(axes, [row for row in results if row["case"] == case])
        axes.set_title(case, fontsize=9)
    all_axes[0].set_ylabel("attainment, share of idle")
    all_axes[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    plt.close(figure)


def _draw_case(axes: Any, rows: list[dict[str, Any]]) -> None:
    by_policy = {row["policy"]: row for row in rows}
    width = 0.8 / len(_POLICIES)
    for number, policy in enumerate(_POLICIES):
        if policy not in by_policy:
            continue
        classes = by_policy[policy]["classes"]
        places = [place + number * width for place in range(len(classes))]
        heights = [item["of_idle"]["median"] for item in classes]
        axes.bar(places, heights, width, label=policy, color=_SHADES[number])
    names = [item["name"] for item in rows[0]["classes"]]
    axes.set_xticks([place + width for place in range(len(names))], names, fontsize=7, rotation=20)
    axes.set_ylim(0, 1.05)
