PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: install demo test format capacity

install: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/pip install -q -r requirements-dev.txt
	$(BIN)/pip install -q --no-deps -e .
	touch $@

demo: install
	$(BIN)/sesamespoke demo

test: install
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/flake8 src tests
	$(BIN)/mypy
	$(BIN)/python tests/run_suite.py

format: install
	$(BIN)/ruff check --fix-only -q src tests
	$(BIN)/ruff format src tests

capacity: install
	$(BIN)/sesamespoke bench capacity
