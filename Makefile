PYTHON ?= python3
BIN := .venv/bin
SET_UP := .venv/.set-up

.PHONY: demo test lint generate bench capacity model binary docs soak

$(SET_UP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --constraint constraints.txt --editable ".[dev]"
	touch $(SET_UP)

demo: $(SET_UP)
	$(BIN)/python -m standins.demo

test: $(SET_UP) lint
	$(BIN)/python -m pytest --numprocesses 4 --dist loadfile --durations 10 --ignore tests/crowd
	$(BIN)/python -m pytest tests/crowd

lint: $(SET_UP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python tools/generate.py --check
	$(BIN)/mkdocs build --strict --quiet --site-dir build/site

generate: $(SET_UP)
	$(BIN)/python tools/generate.py

bench: $(SET_UP)
	$(BIN)/python -m bench.run

capacity: $(SET_UP)
	$(BIN)/python -m bench.capacity

model: $(SET_UP)
	$(BIN)/python -m pytest tests/model -s

binary: $(SET_UP)
	$(BIN)/python -m tools.binary

soak: $(SET_UP)
	$(BIN)/python -m soak --seeds $(or $(SEEDS),10)
