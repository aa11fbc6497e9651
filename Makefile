PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: all demo test check format proto bench-slopes capacity clean

all: $(STAMP)

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev,plots]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/yuccareach demo

test: $(STAMP)
	$(BIN)/python -m unittest discover -s tests -t .

check: $(STAMP)
	$(BIN)/black --check --quiet src tests bench
	$(BIN)/isort --check-only --quiet src tests bench
	$(BIN)/flake8 src tests bench
	$(BIN)/mypy
	$(BIN)/python bench/check_proto.py

format: $(STAMP)
	$(BIN)/isort --quiet src tests bench
	$(BIN)/black --quiet src tests bench

proto: $(STAMP)
	$(BIN)/python bench/check_proto.py --write

clean:
	rm -rf $(VENV) build out
