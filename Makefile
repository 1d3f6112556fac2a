# Everything runs in .venv, which the first target builds from pyproject.toml.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test measure lint format golden clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m examples.demo

test: $(STAMP)
	$(BIN)/python -m pytest -n 8 --dist worksteal -m 'not crowd'
	$(BIN)/python -m pytest -m crowd

measure: $(STAMP)
	$(BIN)/python -m measure

lint: $(STAMP)
	$(BIN)/ruff check src platform tests examples measure
	$(BIN)/black --check --quiet src platform tests examples measure

format: $(STAMP)
	$(BIN)/ruff check --fix --quiet src platform tests examples measure
	$(BIN)/black --quiet src platform tests examples measure

# Rewrites the golden session files; review the diff before committing it.
golden: $(STAMP)
	MEDLAR_REGENERATE_GOLDEN=1 $(BIN)/python -m pytest tests -k golden

clean:
	rm -rf $(VENV)
