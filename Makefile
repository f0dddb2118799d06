.PHONY: build test format lint run measure-flight measure-mass measure-deployments measure-durable measure-budget prove-lease measure-cluster prove-cluster

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

# Formats all Java sources.
format:
	mvn -q -B spotless:apply

# What `mvn verify` checks beside the tests: warnings of the compiler, formatting, the rules of config/checkstyle.xml.
lint:
	mvn -q -B test-compile spotless:check checkstyle:check@lint

# CONFIG: a configuration file as the platform writes it.
run: build
	NODE_CONFIG=$(CONFIG) /bin/sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

# The Flight SQL front end against its engine read directly; the last line holds the figures.
measure-flight:
	mvn -q -DskipTests package dependency:copy-dependencies -DincludeScope=test -DoutputDirectory=target/test-lib
	timeout 55 java --add-opens=java.base/java.nio=ALL-UNNAMED -cp 'target/classes:target/test-classes:target/test-lib/*' calicostream.measure.FlightMeasure

# A hundred front ends and eighty engines, fourteen and sixty, in virtual time, and a new front end's first answer; the last line holds the figures.
measure-mass:
	mvn -q -DskipTests package dependency:copy-dependencies -DincludeScope=test -DoutputDirectory=target/test-lib
	timeout 55 java -cp 'target/classes:target/test-classes:target/test-lib/*' calicostream.measure.MassMeasure

# Deployments drawn from what the protocol allows, in virtual time, with a check of the rules; the last line holds the figures.
# SEED: another seed; DRAW: the number of one draw to play alone.
measure-deployments:
	mvn -q -DskipTests package dependency:copy-dependencies -DincludeScope=test -DoutputDirectory=target/test-lib
	timeout 55 java -XX:+UseSerialGC -cp 'target/classes:target/test-classes:target/test-lib/*' calicostream.measure.DeploymentsMeasure $(or $(SEED),1) $(DRAW)

# Crashes at disk calls, lies of disks, and what the log costs against a plain file; the last line holds the figures. SEED, and FOLDER on the device to measure.
SEED ?= 1
FOLDER ?= target
measure-durable:
	mvn -q -DskipTests package dependency:copy-dependencies -DincludeScope=test -DoutputDirectory=target/test-lib
	timeout 55 java -cp 'target/classes:target/test-classes:target/test-lib/*' calicostream.durable.DurableMeasure $(SEED) $(FOLDER)

# The states of small worlds of leases, with every safeguard in place and without each, and N runs in virtual time from SEED on; the last line holds the figures.
prove-lease:
	mvn -q -DskipTests package dependency:copy-dependencies -DincludeScope=test -DoutputDirectory=target/test-lib
	timeout 600 java -Xmx1g -cp 'target/classes:target/test-classes:target/test-lib/*' calicostream.measure.ProveMeasure $(or $(SEED),1) $(or $(N),2000)

# All proofs of the cluster: N runs in virtual time from SEED on (clusters, leases, budgets), the models, every safeguard taken out; the last line holds the figures.
prove-cluster:
	mvn -q -DskipTests package dependency:copy-dependencies -DincludeScope=test -DoutputDirectory=target/test-lib
	timeout 1200 java -Xmx1g -cp 'target/classes:target/test-classes:target/test-lib/*' calicostream.measure.ClusterProveMeasure $(or $(SEED),1) $(or $(N),10000)

# Session budgets in virtual time, with faults and steady, and what one decision costs; the last line holds the figures.
measure-budget:
	mvn -q -DskipTests package dependency:copy-dependencies -DincludeScope=test -DoutputDirectory=target/test-lib
	timeout 55 java -cp 'target/classes:target/test-classes:target/test-lib/*' calicostream.measure.BudgetMeasure

# Seven real processes of a cluster and four twins without one, under faults of links, processes and disks; the last line holds the figures.
# SEED: another order and other victims.
measure-cluster:
	mvn -q -DskipTests package dependency:copy-dependencies -DincludeScope=test -DoutputDirectory=target/test-lib
	timeout 55 java -XX:+UseSerialGC -Xmx256m -cp 'target/classes:target/test-classes:target/test-lib/*' calicostream.rig.ClusterMeasure $(or $(SEED),1)
