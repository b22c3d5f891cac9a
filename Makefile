VENV := .venv
PY := $(VENV)/bin/python
PACKAGES := core net relay standins node cli
EDITABLE := $(foreach p,$(PACKAGES),-e packages/snipelug-$(p)) -e platform
TOOLS := pytest pytest-trio hypothesis ruff mypy
SOURCES := packages platform deploy tests bench demo

.PHONY: install demo demo-platform serve test lint bench clean
install: $(VENV)/.installed

$(VENV)/.installed: constraints.txt $(wildcard packages/*/pyproject.toml platform/pyproject.toml)
	python3 -m venv $(VENV)
	$(PY) -m pip install -q -c constraints.txt "setuptools>=77" wheel
	$(PY) -m pip install -q -c constraints.txt --no-build-isolation $(EDITABLE) $(TOOLS)
	touch $@

demo: install
	$(PY) -m demo

demo-platform: install
	$(PY) -m snipelug_platform_standin

serve: install
	$(PY) -m demo --stay

test: install
	$(PY) -m pytest

lint: install
	$(PY) -m ruff format --check $(SOURCES)
	$(PY) -m ruff check $(SOURCES)
	$(PY) -m mypy packages platform

bench: install
	$(PY) -m bench
	$(PY) -m bench.node

clean:
	rm -rf $(VENV) build
