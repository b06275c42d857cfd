# Commands for people; the build itself is CMake's.
BUILD ?= build

.PHONY: all install-packages build test check demo bench

all: build

install-packages:
	scripts/install-packages

build: install-packages
	cmake -S . -B $(BUILD) -G Ninja > /dev/null
	cmake --build $(BUILD)

test: build
	ctest --test-dir $(BUILD) --output-on-failure

check: build
	scripts/check-format
	scripts/check-lint

demo: build
	scripts/demo $(BUILD)

bench: build
	scripts/bench $(BUILD)
