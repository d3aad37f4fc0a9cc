PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint bench slopes soak binary clean

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $@

demo: $(VENV)/installed
	$(BIN)/siskinroad demo --seconds=10

test: $(VENV)/installed
	PYTHONHASHSEED=0 $(BIN)/pytest

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

bench: $(VENV)/installed
	$(BIN)/python -m bench.decisions

slopes: $(VENV)/installed
	$(BIN)/python -m bench.slopes

soak: $(VENV)/installed
	$(BIN)/python -m bench.soak

binary: $(VENV)/installed
	$(BIN)/python packaging/build.py

clean:
	rm -rf $(VENV) build dist *.egg-info
