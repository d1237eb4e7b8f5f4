# Two commands do everything on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test check format generate setup

setup: .venv/installed

.venv/installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch .venv/installed

demo: setup
	$(BIN)/python -m examples.demo

test: setup
	$(BIN)/python -m tools.known_red

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: setup
	$(BIN)/python -m tools.generate
