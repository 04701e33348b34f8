PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: setup demo test lint format bench

setup: $(READY)

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m demo

test: $(READY)
	$(BIN)/python -m nose2

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(READY)
	$(BIN)/python -m benchmarks $(NAME)
