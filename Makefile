VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: test demo lint format

$(VENV)/.installed: pyproject.toml requirements/constraints.txt
	python3.11 -m venv $(VENV)
	$(BIN)/pip install -q -c requirements/constraints.txt -e '.[test]'
	touch $@

lint: $(VENV)/.installed
	$(BIN)/isort --check-only -q src standins tests
	$(BIN)/black --check -q src standins tests
	$(BIN)/flake8 src standins tests

format: $(VENV)/.installed
	$(BIN)/isort -q src standins tests
	$(BIN)/black -q src standins tests

test: lint
	$(BIN)/python -m pytest
