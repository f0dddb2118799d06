.PHONY: build test lint run

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

# Every warning of the compiler is an error here.
lint:
	mvn -q -B clean compile -Dmaven.compiler.showWarnings=true -Dmaven.compiler.failOnWarning=true

# CONFIG: a configuration file as the platform writes it.
run: build
	NODE_CONFIG=$(CONFIG) $$(sed -n 's/^run = "exec \(.*\)"$$/\1/p' deploy/balancer.toml)
