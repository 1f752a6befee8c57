Feature: The configuration in force
  The newest accepted generation spreads to every balancer and is never taken back.

  Scenario: Configuration never reverts and is rebuilt exactly under any order of messages
    Then for any reads, losses, repeats and orders no configuration store reverts and all end equal

  Scenario: Configuration updated by a change equals one compiled from the start
    Then for any two sets of resources the updated configuration equals the compiled one

  Scenario: Configuration deltas lead from any generation to a later one
    Then for any sets of resources the composed configuration delta leads from the first to the last

  Scenario: Configuration check limited to a change finds a fault if and only if the whole check does
    Then for any valid set and any change the limited and typed configuration checks agree with the whole one

  Scenario: Configuration decoding takes no malformed or oversized bytes
    Then for any bytes the configuration decoder returns a delta or nothing and never fails
    And the configuration decoder refuses bytes that decompress to more than its limit

  Scenario: Configuration with a fault is rejected as a whole and reported once
    Given a configuration store with generation 1 in force
    When the configuration store reads generation 2 with two faults 3 times
    Then the configuration store has generation 1 in force and reported 1 rejection that names both faults

  Scenario: Configuration of the same generation with other content is reported once and not taken
    Given a configuration store with generation 1 in force
    When the configuration store reads generation 1 with other content 3 times
    And the configuration store hears of generation 1 with that other content
    Then the configuration store has generation 1 in force and reported 1 rejection

  Scenario: Configuration whose digest does not match is not taken
    Given a configuration store with generation 1 in force
    When the configuration store reads generation 2 under a wrong digest
    Then the configuration store has generation 1 in force and reported 1 rejection
    When the configuration store reads generation 2
    Then the configuration store has generation 2 in force

  Scenario: Configuration of a stale service is ignored
    Given a configuration store with generation 5 in force
    When the configuration store reads generation 4
    Then the configuration store has generation 5 in force
    And the configuration store counted 1 older generation

  Scenario: Configuration service going down and up is reported once each
    Given a configuration store with generation 1 in force
    When the configuration service fails 3 reads and answers 2
    Then the configuration store reported the service down once and up once

  Scenario: Configuration of a starting balancer comes from its peers where the service is stale
    Given 3 configuration stores with generation 7 in force
    When the configuration service goes back to generation 3
    And a configuration store starts anew
    And the configuration stores run for 10 seconds
    Then all configuration stores have generation 7 in force and none had another one before

  Scenario: Configuration of a balancer that starts alone is taken after a wait
    Given a configuration store that starts alone
    When the configuration store reads generation 3
    Then the configuration store has generation 0 in force
    When the configuration stores run for 2.5 seconds
    Then the configuration store has generation 3 in force

  Scenario: Configuration of a stale service waits while a peer has a newer one
    Given a configuration store that starts alone
    When the configuration store reads generation 3
    And the configuration store hears of generation 7 for 8 seconds
    Then the configuration store has generation 0 in force
    When the configuration stores run for 8 seconds
    Then the configuration store has generation 3 in force

  Scenario: Configuration comes from another balancer where the one with the newest is silent
    Given 3 configuration stores with generation 2 in force
    When a configuration store starts anew that cannot read the service
    And the configuration store hears of generation 9 from a silent balancer
    And the configuration stores run for 5 seconds
    Then all configuration stores have generation 2 in force

  Scenario: Configuration is fetched whole where other content is in force under the base generation
    Given 2 configuration stores with different contents of generation 1 in force
    When only the first of the configuration stores reads generation 2
    And the configuration stores run for 3 seconds
    Then all configuration stores have generation 2 in force

  Scenario: Configuration older than the one asked for is not sent
    Given a configuration store with generation 2 in force
    When the configuration store is asked for generation 3
    Then the configuration store has sent 0 parts
    When the configuration store is asked for generation 2
    Then the configuration store has sent 1 parts

  Scenario: Configuration comes from the others where a balancer cannot read, and each reads once a second
    Given 9 configuration stores with generation 1 in force
    When the first of the configuration stores can no longer read the service
    And the configuration service goes on to generation 2
    And the configuration stores run for 4 seconds
    Then all configuration stores have generation 2 in force
    And the configuration service was read at most 45 times

  Scenario: Configuration reaches all balancers within 2 seconds and with little traffic
    Given 48 configuration stores of which 48 can read the service and 5 percent of messages are lost
    When the configuration service goes on to a new generation each 4 seconds, 5 times
    Then all configuration stores had each generation in force within 2 seconds
    And no configuration store sent more than 200 bytes a second

  Scenario: Configuration reaches all balancers through one that can read the service
    Given 48 configuration stores of which 1 can read the service and 5 percent of messages are lost
    When the configuration service goes on to a new generation each 4 seconds, 5 times
    And the configuration stores run for 8 seconds
    Then all configuration stores had each generation or a later one in force within 8 seconds
    And no configuration store sent more than 500 bytes a second

  Scenario: Configuration of many parts is rebuilt though the source stops and messages are lost
    Given 3 configuration stores with 1500 back ends and generation 2 in force
    And 20 percent of the configuration messages are lost
    When a configuration store starts anew that cannot read the service
    And the configuration stores run for 0.2 seconds
    And the source that the new configuration store asks stops
    And the configuration stores run for 20 seconds
    Then all configuration stores have generation 2 in force

  Scenario: Configuration parts that are malformed or not asked for are dropped
    Given a configuration store with generation 1 in force
    When malformed configuration parts come to the configuration store
    Then the configuration store has generation 1 in force
    And the configuration store counted 4 malformed inputs

  Scenario: Configuration judged in many slices gives way to no older one
    Given a configuration store with generation 1 in force that works in short slices
    When the configuration store reads generations 2, 4, 3 at once
    And the configuration stores run for 5 seconds
    Then the configuration store has had generations 1, 2, 4 in force

  Scenario: Configuration that comes while another is judged does not disturb it
    Given a configuration store with generation 1 in force that works in short slices
    When a newer generation comes to the configuration store while it judges generation 2
    And the configuration stores run for 5 seconds
    Then the configuration store has had generations 1, 2 in force

  Scenario: Configuration that is still being encoded is sent to those who asked for it
    Given a configuration store with generation 2 in force that works in short slices
    When the configuration store is asked for generation 2
    Then the configuration store has sent 0 parts
    When the configuration stores run for 1 seconds
    Then the configuration store has sent 1 parts

  Scenario: Configuration of many back ends is judged and encoded in short steps
    Then no step of judging or encoding a configuration of 3000 back ends is longer than a block

  Scenario: Configuration in any order is taken and one with a repeated resource is not
    Given a configuration store with generation 1 in force
    When the configuration store reads generation 2 in reverse order
    Then the configuration store has generation 2 in force
    When the configuration store reads generation 3 with a back end repeated
    Then the configuration store has generation 2 in force and reported 1 rejection
    And the rejection of the configuration names the repeated back end
