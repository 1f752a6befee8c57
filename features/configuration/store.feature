Feature: The configuration in force
  The newest accepted generation reaches every balancer and is never replaced by an older one.

  Scenario: Configuration never reverts, and all stores become equal under any order of messages
    Then for any reads, losses, repeats and orders no configuration store reverts and all become equal

  Scenario: A configuration updated by a change equals one compiled from scratch
    Then for any two sets of resources the updated configuration equals the compiled one

  Scenario: Configuration deltas lead from any generation to a later one
    Then for any sets of resources the composed configuration deltas lead from the first to the last

  Scenario: The check limited to a change finds a fault if and only if the full check does
    Then for any valid set and any change the limited and typed configuration checks agree with the full one

  Scenario: The configuration decoder rejects malformed and oversized bytes
    Then for any bytes the configuration decoder returns a delta or None and never raises
    And the configuration decoder rejects bytes that decompress to more than its limit

  Scenario: A configuration with a fault is rejected as a whole and reported once
    Given a configuration store with generation 1 in force
    When the configuration store reads generation 2 with two faults 3 times
    Then the configuration store has generation 1 in force and reported 1 rejection that names both faults

  Scenario: Other content under the generation in force is rejected and reported once
    Given a configuration store with generation 1 in force
    When the configuration store reads generation 1 with other content 3 times
    And a peer announces generation 1 with that other content to the configuration store
    Then the configuration store has generation 1 in force and reported 1 rejection

  Scenario: A configuration whose digest does not match is rejected
    Given a configuration store with generation 1 in force
    When the configuration store reads generation 2 under a wrong digest
    Then the configuration store has generation 1 in force and reported 1 rejection
    When the configuration store reads generation 2
    Then the configuration store has generation 2 in force

  Scenario: An older configuration from a stale service is ignored
    Given a configuration store with generation 5 in force
    When the configuration store reads generation 4
    Then the configuration store has generation 5 in force
    And the configuration store counted 1 older generation

  Scenario: A failure and the recovery of the configuration service are reported once each
    Given a configuration store with generation 1 in force
    When the configuration service fails 3 reads and answers 2
    Then the configuration store reported the service down once and up once

  Scenario: A starting balancer gets the configuration from its peers if the service is stale
    Given 3 configuration stores with generation 7 in force
    When the configuration service reverts to generation 3
    And a new configuration store starts
    And the configuration stores run for 10 seconds
    Then all configuration stores have generation 7 in force and none had another one before

  Scenario: A balancer that starts alone puts the platform's configuration in force after a delay
    Given a configuration store that starts alone
    When the configuration store reads generation 3
    Then the configuration store has generation 0 in force
    When the configuration stores run for 2.5 seconds
    Then the configuration store has generation 3 in force

  Scenario: A configuration from the service is held back while a peer announces a newer one
    Given a configuration store that starts alone
    When the configuration store reads generation 3
    And a silent balancer announces generation 7 to the store for 8 seconds
    Then the configuration store has generation 0 in force
    When the configuration stores run for 8 seconds
    Then the configuration store has generation 3 in force

  Scenario: A configuration is fetched from another balancer if the one with the newest generation is silent
    Given 3 configuration stores with generation 2 in force
    When a new configuration store starts that cannot read the service
    And a silent balancer announces generation 9 to the configuration store
    And the configuration stores run for 5 seconds
    Then all configuration stores have generation 2 in force

  Scenario: A snapshot is fetched if other content is in force under the base generation
    Given 2 configuration stores with different contents of generation 1 in force
    When only the first of the configuration stores reads generation 2
    And the configuration stores run for 3 seconds
    Then all configuration stores have generation 2 in force

  Scenario: A configuration older than the requested one is not sent
    Given a configuration store with generation 2 in force
    When a peer requests generation 3 from the configuration store
    Then the configuration store has sent 0 parts
    When a peer requests generation 2 from the configuration store
    Then the configuration store has sent 1 parts

  Scenario: A balancer that cannot read gets the configuration from others, and each reads once per second
    Given 9 configuration stores with generation 1 in force
    When the first of the configuration stores can no longer read the service
    And the configuration service publishes generation 2
    And the configuration stores run for 4 seconds
    Then all configuration stores have generation 2 in force
    And the configuration service was read at most 45 times

  Scenario: A configuration reaches all balancers within 2 seconds and with little traffic
    Given 48 configuration stores of which 48 can read the service and 5 percent of messages are lost
    When the configuration service publishes a new generation every 4 seconds, 5 times
    Then all configuration stores had each generation in force within 2 seconds
    And no configuration store sent more than 200 bytes per second

  Scenario: A configuration reaches all balancers through one that can read the service
    Given 48 configuration stores of which 1 can read the service and 5 percent of messages are lost
    When the configuration service publishes a new generation every 4 seconds, 5 times
    And the configuration stores run for 8 seconds
    Then all configuration stores had each generation or a later one in force within 8 seconds
    And no configuration store sent more than 500 bytes per second

  Scenario: A configuration of many parts is transferred although the source stops and messages are lost
    Given 3 configuration stores with 1500 back ends and generation 2 in force
    And 20 percent of the configuration messages are lost
    When a new configuration store starts that cannot read the service
    And the configuration stores run for 0.2 seconds
    And the source from which the new configuration store fetches stops
    And the configuration stores run for 20 seconds
    Then all configuration stores have generation 2 in force

  Scenario: Configuration parts that are malformed or were not requested are dropped
    Given a configuration store with generation 1 in force
    When the configuration store receives malformed configuration parts
    Then the configuration store has generation 1 in force
    And the configuration store counted 4 malformed inputs

  Scenario: A configuration that is checked in many slices is not replaced by an older one
    Given a configuration store with generation 1 in force that works in short slices
    When the configuration store reads generations 2, 4, 3 at once
    And the configuration stores run for 5 seconds
    Then the configuration store has had generations 1, 2, 4 in force

  Scenario: A configuration received during the check of another one does not interrupt the check
    Given a configuration store with generation 1 in force that works in short slices
    When the configuration store receives a newer generation while it checks generation 2
    And the configuration stores run for 5 seconds
    Then the configuration store has had generations 1, 2 in force

  Scenario: A snapshot is sent to waiting balancers once it is encoded
    Given a configuration store with generation 2 in force that works in short slices
    When a peer requests generation 2 from the configuration store
    Then the configuration store has sent 0 parts
    When the configuration stores run for 1 seconds
    Then the configuration store has sent 1 parts

  Scenario: A configuration of many back ends is checked and encoded in short steps
    Then no step of checking or encoding a configuration of 3000 back ends is longer than a block

  Scenario: A configuration in any order is accepted, and one with a repeated resource is rejected
    Given a configuration store with generation 1 in force
    When the configuration store reads generation 2 in reverse order
    Then the configuration store has generation 2 in force
    When the configuration store reads generation 3 with a back end repeated
    Then the configuration store has generation 2 in force and reported 1 rejection
    And the rejection of the configuration names the repeated back end
