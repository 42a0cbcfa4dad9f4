.PHONY: build test lint run clean

JAR := target/ledgewall.jar

build:
	mvn -B -q -DskipTests package

test:
	mvn -B verify

lint:
	mvn -B -q -DskipTests verify

# make run CONFIG=path/to/config.json
run:
	@test -f $(JAR) || { echo "no $(JAR): make build first" >&2; exit 1; }
	@test -n "$(CONFIG)" || { echo "usage: make run CONFIG=path/to/config.json" >&2; exit 2; }
	java -jar $(JAR) serve $(CONFIG)

clean:
	mvn -B -q clean
